// Package limit bounds what the request path takes on: how much one backend
// server is given ([Adaptive]), who goes first when all are full ([Queue]) and
// how fast one caller or team may send ([Rates]).
package limit

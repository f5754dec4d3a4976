// Package version holds the version of the programs.
package version

// Version is the release that this code becomes.
const Version = "0.1.0-dev"

// Command standin runs the scripted cases of the review. It starts entries of the job service as separate
// processes and plays the platform around them: the table service, the VM list, the workers, the operator
// and the clients, as the users' pages describe them. It writes what was sent, answered and run to a record.
package main

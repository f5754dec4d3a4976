// Package catalog holds the configuration that operators give the job service:
// which queues there are, which pool runs each, and with which limits.
package catalog

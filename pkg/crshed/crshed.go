// Package crshed decides how much new work the entrances of a service graph, the nodes that receive client requests, shed
// so that a service deep in the call graph is not overloaded. The Regulator of each gate, the admission controller beside a
// backend server, computes the pressure on that server: the work that callers offer as a multiple of the server's capacity.
// Answers carry the pressures to the PressureTable of every node. Admitter derives from them, by the same rule on every node and
// without a message per request, the share of each priority that is admitted.
//
// It is built for a load pattern in which the demand for one deep service exceeds its slots for seconds to minutes while
// all services above it have spare capacity. The calls of admitted work must be served, and the least important work is shed
// first. Demand may double, or half of the servers may leave, at any moment. No type reads the clock: callers pass the
// current time. All types are safe for concurrent use.
package crshed

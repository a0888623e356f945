// Package crshed decides how much new work is turned away at the entrances of a service graph so that the service at the
// end of the chains keeps up. A Regulator at each gate turns what its server is asked for into a pressure: the work that
// callers offer, as a multiple of what the servers can do. Pressures travel on answers to the Board of every node; Shares
// turns them, the same way everywhere and without a message for each request, into the part of each priority that is let
// in.
//
// It answers the load pattern in which demand for one deep service exceeds its slots for seconds to minutes while every
// service above it has room: work that is let in must find its calls served, and what is least important goes first. Demand
// may double, or half of the servers may leave, from one moment to the next. All types take the present time and are safe
// for concurrent use.
package crshed

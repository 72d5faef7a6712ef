// Package simulation drives the decision packages of a whole fleet on a virtual clock,
// with faults drawn from a seed, and checks the platform's rules on what backend servers,
// callers and the store see. A run uses one thread; the same scenario gives the same run.
//
// Scope: how the store's collections and a release of weights reach every entry and
// agent, on which version a request begins, and which parts of prompts are blocked because
// engines crash at them. duty, replica, peers, placement, rollout and blocklist are the
// packages that run in production. The following is modeled:
//
//   - links, the store, model engines, callers, and the transfer of chunks;
//   - the wiring in packages with I/O: copies (collection), beat (echoes of messages),
//     relay (entry) and loader (agent). It repeats their order of calls without locks
//     and sockets, and has to follow when they change.
//
// Entries give up an attempt after a silence of its engine, whatever they could do next: the
// reservation of the next attempt, the wait without one, the end of attempts for the bound and
// the answers after them (package relay) are not modeled. LOST is therefore not checked for
// callers whose requests silent engines hold.
//
// Not modeled either: the content of the tables, admission by priority and customer, corrupt
// chunks, depots, clock drift, instances that join or drain, list entries that expire while
// the store is down, restores of the store, and trials of blocked parts.
package simulation

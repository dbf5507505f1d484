// Decides how urgent a request is to the engine that gets it. The load it
// answers: bursts that fill every slot of the fleet. First come, first served,
// the queue at each engine soon takes longer than short requests can wait, and
// then all of them are late, though most of them could have been served in
// time. Those that are late already therefore let the others go first.

#ifndef GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_URGENCY_H_
#define GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_URGENCY_H_

namespace gooseberrylift {

/// Gives a request's urgency at its engine, from 0, the first, to 9.
/// @param aPriority the operator's, of the team or the route; 0 is the first
/// @param aDeferred it is late wherever it goes
int UrgencyOf(int aPriority, bool aDeferred);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_URGENCY_H_

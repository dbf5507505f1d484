// Priority class of a request at its engine. Bursts can fill every slot of the
// fleet. With first-come-first-served queues, the wait at each engine would
// soon exceed the time that short requests can wait, and all of them would be
// late although most could be served in time. Requests that are already late
// therefore yield to the others.

#ifndef GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_PRIORITY_CLASS_H_
#define GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_PRIORITY_CLASS_H_

namespace gooseberrylift {

/// Returns the priority class of a request, from 0 (first) to 9.
/// @param aPriority priority of the team or the route; 0 is the most urgent
/// @param aDeferred whether the request is late at every engine
int PriorityClassOf(int aPriority, bool aDeferred);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_ROUTING_GOOSEBERRYLIFT_PRIORITY_CLASS_H_

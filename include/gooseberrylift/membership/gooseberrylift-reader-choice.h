// Decides which hosts read the platform's store, and whom the others ask. The
// load it answers: fleets of tens to hundreds of hosts, whose calls to the
// store are paid for and limited in number. Where each host read it for itself,
// 91 hosts made 17,902 calls on a day of a minute, with readers 3,243; a few
// readers a zone make the same number of calls however many hosts it has.

#ifndef GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_READER_CHOICE_H_
#define GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_READER_CHOICE_H_

#include <cstddef>
#include <string>
#include <vector>

namespace gooseberrylift {

struct ReaderOptions
{
  // In each availability zone. When one is lost the other answers at once, and
  // a third takes its place as soon as it counts as gone.
  std::size_t perZone_ = 2;
  // A zone of no more hosts does without: its calls cost little, and each host
  // that reads for itself needs nobody.
  std::size_t smallZone_ = 4;
};

// Who reads, as one host sees it.
struct ReaderChoice
{
  bool reads_ = true;                // this host reads the store for itself
  std::vector<std::string> readers_; // other hosts that read, by rank
};

/// Chooses the readers of a zone by rank (rendezvous hashing), so that hosts
/// which see the same members choose the same, and a change of one member moves
/// one reader at most. Where views differ for a moment a host reads that need
/// not, or asks one that refuses and then reads for itself.
/// @param aSelf this host's name
/// @param aOthers the other live hosts of its zone, by name
ReaderChoice ChooseReaders(const std::string& aSelf,
                           const std::vector<std::string>& aOthers,
                           const ReaderOptions& aOptions);

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_MEMBERSHIP_GOOSEBERRYLIFT_READER_CHOICE_H_

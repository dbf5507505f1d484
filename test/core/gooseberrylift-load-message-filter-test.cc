#include "gooseberrylift/membership/gooseberrylift-load-message-filter.h"

#include <CppUTest/TestHarness.h>

using namespace gooseberrylift;
using namespace std::chrono_literals;

TEST_GROUP(LoadMessageFilterTest)
{
  LoadMessageFilter filter_{ "here" };
  TimePoint now_{ 1000s };

  bool Accepts(std::uint64_t aSequence,
               LoadMessageKind aKind,
               const std::string& aZone = "")
  {
    return filter_
      .Accept({ .host_ = "peer",
                .sequence_ = aSequence,
                .kind_ = aKind,
                .zone_ = aZone },
              now_)
      .has_value();
  }
};

TEST(LoadMessageFilterTest, RejectsMessagesThatArriveLateOrTwice)
{
  CHECK_TRUE(Accepts(5, LoadMessageKind::kSnapshot));
  CHECK_FALSE(Accepts(5, LoadMessageKind::kSnapshot));
  CHECK_FALSE(Accepts(4, LoadMessageKind::kDelta));
  CHECK_TRUE(Accepts(6, LoadMessageKind::kDelta));
}

TEST(LoadMessageFilterTest, AcceptsOnlyTheRestOfTheLatestSnapshot)
{
  CHECK_TRUE(Accepts(5, LoadMessageKind::kSnapshot));
  CHECK_TRUE(Accepts(5, LoadMessageKind::kSnapshotContinued));
  CHECK_TRUE(Accepts(6, LoadMessageKind::kSnapshot));
  CHECK_FALSE(Accepts(5, LoadMessageKind::kSnapshotContinued));
}

// Guards against counting the hosts of the own zone twice.
TEST(LoadMessageFilterTest, RejectsTheTotalsOfTheOwnZone)
{
  CHECK_FALSE(Accepts(5, LoadMessageKind::kSnapshot, "here"));
  CHECK_TRUE(Accepts(5, LoadMessageKind::kSnapshot, "there"));
  STRCMP_EQUAL("zone/there",
               filter_
                 .Accept({ .host_ = "peer",
                           .sequence_ = 6,
                           .kind_ = LoadMessageKind::kDelta,
                           .zone_ = "there" },
                         now_)
                 ->c_str());
}

#include "gooseberrylift/internal/gooseberrylift-headline-words.h"

#include <utility>

namespace gooseberrylift {

HeadlineWords::HeadlineWords(Parts aParts, Options aOptions)
  : parts_(std::move(aParts))
  , options_(std::move(aOptions))
  , random_(std::random_device{}())
{
  parts_.datagrams_.SetReceiver(
    PeerTopic::kStore,
    [this](std::string_view aBytes, const PeerAddress& aFrom) {
      TakeIn(aBytes, aFrom);
    });
}

void HeadlineWords::Start()
{
  round_ =
    TimerService::Every(options_.round_, parts_.executor_, [this] { Ask(); });
}

// Each question has a number of its own, so a recorded answer proves nothing to
// a later one.
void HeadlineWords::Ask()
{
  ForgetOld();
  const std::vector<PeerMember> peers = parts_.draw_();
  if (peers.empty()) {
    return;
  }
  std::vector<std::string> addresses;
  addresses.reserve(peers.size());
  for (const PeerMember& peer : peers) {
    addresses.push_back(peer.address_);
  }
  const HeadlineWord question{ .host_ = options_.host_,
                               .question_ = random_(),
                               .headline_ = parts_.own_() };
  asked_[question.question_] = TimerService::BootNow();
  parts_.datagrams_.Send(PeerTopic::kStore,
                         EncodeHeadlineWord(question),
                         PeerAddressesOf(addresses));
}

void HeadlineWords::ForgetOld()
{
  const BootTime now = TimerService::BootNow();
  std::erase_if(asked_, [&](const auto& aAsked) {
    return now - aAsked.second > options_.answerWithin_;
  });
}

void HeadlineWords::TakeIn(std::string_view aBytes, const PeerAddress& aFrom)
{
  const auto word = DecodeHeadlineWord(aBytes);
  if (!word) {
    return;
  }
  const PeerMember peer{ .host_ = word->host_, .address_ = TextOf(aFrom) };
  if (word->isAnswer_) {
    TakeInAnswer(*word, peer);
    return;
  }
  // The headline is of this moment: the age in it is counted from the question
  // on, and would look too low if it had been taken before.
  const HeadlineWord answer{ .host_ = options_.host_,
                             .question_ = word->question_,
                             .isAnswer_ = true,
                             .headline_ = parts_.own_() };
  parts_.datagrams_.Send(
    PeerTopic::kStore, EncodeHeadlineWord(answer), { aFrom });
  parts_.take_(peer, word->headline_, std::nullopt);
}

void HeadlineWords::TakeInAnswer(const HeadlineWord& aWord,
                                 const PeerMember& aPeer)
{
  const auto asked = asked_.find(aWord.question_);
  if (asked != asked_.end()) {
    parts_.take_(aPeer, aWord.headline_, asked->second);
  }
}

} // namespace gooseberrylift

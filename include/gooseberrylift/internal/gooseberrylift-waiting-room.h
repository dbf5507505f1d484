// Long prompts that wait at this host, and their place among those that wait at
// all hosts.

#ifndef GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_WAITING_ROOM_H_
#define GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_WAITING_ROOM_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "gooseberrylift/internal/gooseberrylift-metrics.h"
#include "gooseberrylift/limits/gooseberrylift-waiting-order.h"
#include "gooseberrylift/membership/gooseberrylift-load-message.h"

namespace gooseberrylift {

// Carries waiting prompts between requests, load messages and WaitingOrder.
// Thread-safe.
class WaitingRoom
{
public:
  struct Parts
  {
    Metrics& metrics_;
    // Called when the prompts that wait at this host have changed.
    std::function<void()> onChanged_;
  };

  WaitingRoom(Parts aParts, const std::string& aHost)
    : parts_(std::move(aParts))
    , host_(NameHash(aHost))
  {
  }

  // Keeps a prompt registered while it exists.
  class Ticket
  {
  public:
    Ticket(WaitingRoom& aRoom, std::uint64_t aId)
      : room_(aRoom)
      , id_(aId)
    {
    }
    ~Ticket() { room_.Leave(id_, sent_); }
    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;

    /// Returns the prompt's id in messages to other hosts.
    std::uint64_t Id() const { return id_; }

    /// Returns the prompt's place now.
    WaitingTurn Turn(const WaitingSupply& aSupply) const;

    /// Records that the prompt is about to be sent to engines.
    void OnSent() { sent_ = true; }

  private:
    WaitingRoom& room_;
    std::uint64_t id_;
    bool sent_ = false;
  };

  /// Registers a prompt.
  /// @param aPrompt without its id
  /// @param aRequest unique on this host
  std::unique_ptr<Ticket> Enter(WaitingPrompt aPrompt, std::uint64_t aRequest);

  /// Counts a decision in the metrics.
  /// @param aByItself the decision without regard to other prompts that wait
  /// @param aArrived whether it was the prompt's first decision
  void Count(HoldDecision aByItself, HoldDecision aDecision, bool aArrived);

  /// Returns whether no prompt waits at any host.
  bool IsEmpty() const;

  /// Returns the prompts of this host that are first in order.
  std::vector<WaitingPrompt> Own();

  /// Returns the first prompts of this host and the given ones.
  std::vector<WaitingPrompt> OfZone(const std::set<std::string>& aHosts);

  /// Applies the waiting prompts of a message.
  /// @param aSource the accepted source of the message
  void OnLoadMessage(const std::string& aSource, const LoadMessage& aMessage);

private:
  void Leave(std::uint64_t aId, bool aSent);

  Parts parts_;
  std::uint32_t host_;
  mutable std::mutex mutex_; // guards order_
  WaitingOrder order_{ WaitingOrder::Options{} };
};

} // namespace gooseberrylift

#endif // GOOSEBERRYLIFT_INTERNAL_GOOSEBERRYLIFT_WAITING_ROOM_H_

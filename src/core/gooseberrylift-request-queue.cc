#include "gooseberrylift/gooseberrylift-request-queue.h"

#include <algorithm>
#include <deque>

namespace gooseberrylift {

namespace {

using std::chrono::microseconds;

constexpr std::size_t kClassCount = 3;

std::size_t ClassIndex(ServiceClass aClass)
{
  return static_cast<std::size_t>(aClass);
}

// Indexes the queued requests by id and by latest start, for both queue types.
class QueueBase : public RequestQueue
{
public:
  const WaitingRequest* NextToExpire() const override
  {
    return byLatestStart_.empty() ? nullptr
                                  : Find(byLatestStart_.begin()->second);
  }

  const WaitingRequest* Find(std::uint64_t aId) const override
  {
    const auto found = requests_.find(aId);
    return found == requests_.end() ? nullptr : &found->second;
  }

  std::size_t Size() const override { return requests_.size(); }

protected:
  void Insert(WaitingRequest aRequest)
  {
    byLatestStart_.emplace(aRequest.latestStart_, aRequest.info_.id_);
    queuedCost_ += aRequest.cost_;
    requests_.emplace(aRequest.info_.id_, std::move(aRequest));
  }

  void Erase(const WaitingRequest& aRequest)
  {
    byLatestStart_.erase({ aRequest.latestStart_, aRequest.info_.id_ });
    queuedCost_ -= aRequest.cost_;
    requests_.erase(aRequest.info_.id_);
  }

  microseconds queuedCost_{ 0 };

private:
  std::unordered_map<std::uint64_t, WaitingRequest> requests_;
  std::set<std::pair<TimePoint, std::uint64_t>> byLatestStart_;
};

class FifoQueue : public QueueBase
{
public:
  void Push(WaitingRequest aRequest) override
  {
    order_.insert(aRequest.info_.id_); // ids increase with arrival
    Insert(std::move(aRequest));
  }

  const WaitingRequest* Next() const override
  {
    return order_.empty() ? nullptr : Find(*order_.begin());
  }

  void Remove(std::uint64_t aId, bool /*aServed*/) override
  {
    if (const WaitingRequest* request = Find(aId)) {
      order_.erase(aId);
      Erase(*request);
    }
  }

  microseconds QueuedTeamCost(const RequestInfo& /*aInfo*/) const override
  {
    return queuedCost_;
  }

  double TeamWeightShare(const RequestInfo& /*aInfo*/) const override
  {
    return 1;
  }

private:
  std::set<std::uint64_t> order_;
};

class FairQueue : public QueueBase
{
public:
  explicit FairQueue(FairQueueOptions aOptions)
    : options_(std::move(aOptions))
  {
  }

  void Push(WaitingRequest aRequest) override
  {
    ClassState& classState = classes_[ClassIndex(aRequest.info_.class_)];
    TeamState& team = classState.teams_[aRequest.info_.team_];
    if (team.order_.empty()) {
      // A team that was idle resumes at the current virtual time, so that it
      // can't accumulate a claim to the whole fleet while it sends nothing.
      team.weight_ = WeightOf(aRequest.info_.team_);
      team.startTag_ = std::max(team.startTag_, classState.virtualTime_);
      classState.activeTeams_.emplace(team.startTag_, aRequest.info_.team_);
      classState.weight_ += team.weight_;
    }
    team.order_.emplace(aRequest.info_.deadline_, aRequest.info_.id_);
    team.queuedCost_ += aRequest.cost_;
    classState.queuedCost_ += aRequest.cost_;
    Insert(std::move(aRequest));
  }

  const WaitingRequest* Next() const override
  {
    const ClassState* first = nullptr;
    for (const ClassState& classState : classes_) {
      if (classState.activeTeams_.empty()) {
        continue;
      }
      first = first == nullptr ? &classState : first;
      if (&classState != first &&
          classState.credit_ >= HeadRequest(classState)->cost_) {
        return HeadRequest(classState);
      }
    }
    return first == nullptr ? nullptr : HeadRequest(*first);
  }

  void Remove(std::uint64_t aId, bool aServed) override
  {
    const WaitingRequest* request = Find(aId);
    if (request == nullptr) {
      return;
    }
    ClassState& classState = classes_[ClassIndex(request->info_.class_)];
    const std::string name = request->info_.team_;
    TeamState& team = classState.teams_[name];
    const microseconds cost = request->cost_;
    classState.activeTeams_.erase({ team.startTag_, name });
    team.order_.erase({ request->info_.deadline_, aId });
    team.queuedCost_ -= cost;
    classState.queuedCost_ -= cost;
    if (aServed) {
      classState.virtualTime_ =
        std::max(classState.virtualTime_, team.startTag_);
      team.startTag_ += static_cast<double>(cost.count()) / team.weight_;
      UpdateCredits(classState, cost);
    }
    if (team.order_.empty()) {
      classState.weight_ -= team.weight_;
    } else {
      classState.activeTeams_.emplace(team.startTag_, name);
    }
    Erase(*request);
    if (team.order_.empty() && team.startTag_ <= classState.virtualTime_) {
      classState.teams_.erase(name);
    }
  }

  microseconds QueuedTeamCost(const RequestInfo& aInfo) const override
  {
    const ClassState& own = classes_[ClassIndex(aInfo.class_)];
    const auto team = own.teams_.find(aInfo.team_);
    return team == own.teams_.end() ? microseconds(0)
                                    : team->second.queuedCost_;
  }

  double TeamWeightShare(const RequestInfo& aInfo) const override
  {
    const ClassState& own = classes_[ClassIndex(aInfo.class_)];
    const auto team = own.teams_.find(aInfo.team_);
    const bool known = team != own.teams_.end() && !team->second.order_.empty();
    const double weight = WeightOf(aInfo.team_);
    return weight / (known ? own.weight_ : own.weight_ + weight);
  }

private:
  struct TeamState
  {
    std::set<std::pair<TimePoint, std::uint64_t>> order_;
    microseconds queuedCost_{ 0 };
    double weight_ = 1;
    double startTag_ = 0; // virtual start time of the team's next request
  };

  struct ClassState
  {
    std::map<std::string, TeamState> teams_;
    std::set<std::pair<double, std::string>> activeTeams_;
    microseconds queuedCost_{ 0 };
    microseconds credit_{ 0 };
    double weight_ = 0; // sum over the active teams
    double virtualTime_ = 0;
  };

  const WaitingRequest* HeadRequest(const ClassState& aClass) const
  {
    const TeamState& team =
      aClass.teams_.find(aClass.activeTeams_.begin()->second)->second;
    return Find(team.order_.begin()->second);
  }

  double WeightOf(const std::string& aTeam) const
  {
    const auto found = options_.weights_.find(aTeam);
    return found == options_.weights_.end() ? 1.0 : found->second;
  }

  // Charges the cost to the served class, and credits the other classes that
  // have queued requests with their minimum share of it.
  void UpdateCredits(ClassState& aServed, microseconds aCost)
  {
    for (ClassState& classState : classes_) {
      if (&classState == &aServed) {
        classState.credit_ =
          std::max(microseconds(0), classState.credit_ - aCost);
      } else if (classState.activeTeams_.empty()) {
        classState.credit_ = microseconds(0);
      } else {
        classState.credit_ += microseconds(static_cast<std::int64_t>(
          static_cast<double>(aCost.count()) * options_.minClassShare_));
      }
    }
  }

  FairQueueOptions options_;
  std::array<ClassState, kClassCount> classes_;
};

} // namespace

std::unique_ptr<RequestQueue> MakeFifoQueue()
{
  return std::make_unique<FifoQueue>();
}

std::unique_ptr<RequestQueue> MakeFairQueue(FairQueueOptions aOptions)
{
  return std::make_unique<FairQueue>(std::move(aOptions));
}

} // namespace gooseberrylift

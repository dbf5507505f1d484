#include "gooseberrylift/gooseberrylift-request-queue.h"

#include <algorithm>
#include <deque>

namespace gooseberrylift {

namespace {

using std::chrono::microseconds;

constexpr std::size_t kClasses = 3;

std::size_t IndexOf(ServiceClass aClass)
{
  return static_cast<std::size_t>(aClass);
}

// The waiting requests by number and by latest start, which both kinds keep.
class QueueBase : public RequestQueue
{
public:
  const WaitingRequest* MostPressing() const override
  {
    return pressing_.empty() ? nullptr : Find(pressing_.begin()->second);
  }

  const WaitingRequest* Find(std::uint64_t aId) const override
  {
    const auto found = requests_.find(aId);
    return found == requests_.end() ? nullptr : &found->second;
  }

  std::size_t Size() const override { return requests_.size(); }

protected:
  void Keep(WaitingRequest aRequest)
  {
    pressing_.emplace(aRequest.latestStart_, aRequest.info_.id_);
    work_ += aRequest.cost_;
    requests_.emplace(aRequest.info_.id_, std::move(aRequest));
  }

  void Drop(const WaitingRequest& aRequest)
  {
    pressing_.erase({ aRequest.latestStart_, aRequest.info_.id_ });
    work_ -= aRequest.cost_;
    requests_.erase(aRequest.info_.id_);
  }

  microseconds work_{ 0 };

private:
  std::unordered_map<std::uint64_t, WaitingRequest> requests_;
  std::set<std::pair<TimePoint, std::uint64_t>> pressing_;
};

class FifoQueue : public QueueBase
{
public:
  void Push(WaitingRequest aRequest) override
  {
    order_.insert(aRequest.info_.id_); // ids rise with arrival
    Keep(std::move(aRequest));
  }

  const WaitingRequest* Next() const override
  {
    return order_.empty() ? nullptr : Find(*order_.begin());
  }

  void Remove(std::uint64_t aId, bool /*aServed*/) override
  {
    if (const WaitingRequest* request = Find(aId)) {
      order_.erase(aId);
      Drop(*request);
    }
  }

  microseconds TeamWork(const RequestInfo& /*aInfo*/) const override
  {
    return work_;
  }

  double TeamShare(const RequestInfo& /*aInfo*/) const override { return 1; }

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
    Class& level = classes_[IndexOf(aRequest.info_.class_)];
    Team& team = level.teams_[aRequest.info_.team_];
    if (team.order_.empty()) {
      // A team that was idle starts at the present, so that it can't save up
      // a claim to the whole fleet while it asks nothing.
      team.weight_ = WeightOf(aRequest.info_.team_);
      team.tag_ = std::max(team.tag_, level.now_);
      level.active_.emplace(team.tag_, aRequest.info_.team_);
      level.weight_ += team.weight_;
    }
    team.order_.emplace(aRequest.info_.deadline_, aRequest.info_.id_);
    team.work_ += aRequest.cost_;
    level.work_ += aRequest.cost_;
    Keep(std::move(aRequest));
  }

  const WaitingRequest* Next() const override
  {
    const Class* first = nullptr;
    for (const Class& level : classes_) {
      if (level.active_.empty()) {
        continue;
      }
      first = first == nullptr ? &level : first;
      if (&level != first && level.credit_ >= HeadOf(level)->cost_) {
        return HeadOf(level);
      }
    }
    return first == nullptr ? nullptr : HeadOf(*first);
  }

  void Remove(std::uint64_t aId, bool aServed) override
  {
    const WaitingRequest* request = Find(aId);
    if (request == nullptr) {
      return;
    }
    Class& level = classes_[IndexOf(request->info_.class_)];
    const std::string name = request->info_.team_;
    Team& team = level.teams_[name];
    const microseconds cost = request->cost_;
    level.active_.erase({ team.tag_, name });
    team.order_.erase({ request->info_.deadline_, aId });
    team.work_ -= cost;
    level.work_ -= cost;
    if (aServed) {
      level.now_ = std::max(level.now_, team.tag_);
      team.tag_ += static_cast<double>(cost.count()) / team.weight_;
      GiveCredit(level, cost);
    }
    if (team.order_.empty()) {
      level.weight_ -= team.weight_;
    } else {
      level.active_.emplace(team.tag_, name);
    }
    Drop(*request);
    if (team.order_.empty() && team.tag_ <= level.now_) {
      level.teams_.erase(name);
    }
  }

  microseconds TeamWork(const RequestInfo& aInfo) const override
  {
    const Class& own = classes_[IndexOf(aInfo.class_)];
    const auto team = own.teams_.find(aInfo.team_);
    return team == own.teams_.end() ? microseconds(0) : team->second.work_;
  }

  double TeamShare(const RequestInfo& aInfo) const override
  {
    const Class& own = classes_[IndexOf(aInfo.class_)];
    const auto team = own.teams_.find(aInfo.team_);
    const bool known = team != own.teams_.end() && !team->second.order_.empty();
    const double weight = WeightOf(aInfo.team_);
    return weight / (known ? own.weight_ : own.weight_ + weight);
  }

private:
  struct Team
  {
    std::set<std::pair<TimePoint, std::uint64_t>> order_;
    microseconds work_{ 0 };
    double weight_ = 1;
    double tag_ = 0; // virtual time of the team's next turn
  };

  struct Class
  {
    std::map<std::string, Team> teams_;
    std::set<std::pair<double, std::string>> active_;
    microseconds work_{ 0 };
    microseconds credit_{ 0 };
    double weight_ = 0; // of the active teams
    double now_ = 0;    // virtual time
  };

  const WaitingRequest* HeadOf(const Class& aClass) const
  {
    const Team& team =
      aClass.teams_.find(aClass.active_.begin()->second)->second;
    return Find(team.order_.begin()->second);
  }

  double WeightOf(const std::string& aTeam) const
  {
    const auto found = options_.weights_.find(aTeam);
    return found == options_.weights_.end() ? 1.0 : found->second;
  }

  // What one class is served earns the waiting others their floor.
  void GiveCredit(Class& aServed, microseconds aCost)
  {
    for (Class& level : classes_) {
      if (&level == &aServed) {
        level.credit_ = std::max(microseconds(0), level.credit_ - aCost);
      } else if (level.active_.empty()) {
        level.credit_ = microseconds(0);
      } else {
        level.credit_ += microseconds(static_cast<std::int64_t>(
          static_cast<double>(aCost.count()) * options_.floor_));
      }
    }
  }

  FairQueueOptions options_;
  std::array<Class, kClasses> classes_;
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

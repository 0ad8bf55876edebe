#include "scaling/scale_task.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "common/event_log.h"

namespace millstair {
namespace {

/// How often the leader decides and checks for calls to make.
constexpr Duration kTick = std::chrono::milliseconds(250);
/// Longer than the response time of a slow platform, and shorter than any lease.
constexpr Duration kCallTimeout = std::chrono::seconds(2);
/// Delay before a failed operation is repeated. Doubled after each failure of a call up to the
/// maximum, which keeps the calls on all subjects far below the platform's limit.
constexpr Duration kFirstBackOff = std::chrono::milliseconds(500);
constexpr Duration kMaxBackOff = std::chrono::seconds(8);
/// A count of servers is taken for the initial number once it has been the same for this long: a
/// server that replaces another one may be registered together with it for a moment.
constexpr Duration kCountLasts = std::chrono::seconds(3);
constexpr char kSubjectPrefix[] = "scale/";

std::string SubjectName(const ServiceName& service, const Zone& zone) {
  return kSubjectPrefix + service.value() + "/" + zone.value();
}

class ControlNodeScaleHost : public ControlNodeHost<ScaleHost> {
 public:
  using ControlNodeHost::ControlNodeHost;

  const Configuration& configuration() const override { return control_.configuration(); }
  const PoolSizes& pool_sizes() const override { return control_.pool_sizes(); }
  bool CanCommitSizes() const override { return control_.MinLevel() >= kPoolScalingLevel; }
};

class ControlNodeScaleTask : public LeaderTask {
 public:
  ControlNodeScaleTask(Environment& environment, HttpCaller& http, const ScaleProtocol& protocol,
                       const RoutingDocumentReader& reader, ControlNode& control,
                       ScaleOptions options)
      : host_(control), task_(environment, http, protocol, reader, host_, std::move(options)) {
    control.OnLeaseAnnounced(
        [this](const LeaseAnnouncement& announcement) { task_.OnAnnouncement(announcement); });
    control.OnPoolReport([this](const PoolReport& report) { task_.OnReport(report); });
  }

  void Run(const Configuration&) override { task_.Run(); }
  void Observe(const NodeId&, const EngineObservation&) override {}

 private:
  ControlNodeScaleHost host_;
  ScaleTask task_;
};

}  // namespace

std::string_view ScaleAnswerName(ScaleAnswer answer) {
  switch (answer) {
    case ScaleAnswer::kAccepted:
      return "accepted";
    case ScaleAnswer::kUnavailable:
      return "unavailable";
    case ScaleAnswer::kBusy:
      return "busy";
    case ScaleAnswer::kRefused:
      return "refused";
    case ScaleAnswer::kUnknown:
      break;
  }
  return "unknown";
}

ScaleTask::ScaleTask(Environment& environment, HttpCaller& http, const ScaleProtocol& protocol,
                     const RoutingDocumentReader& reader, ScaleHost& host, ScaleOptions options)
    : environment_(environment),
      http_(http),
      protocol_(protocol),
      reader_(reader),
      host_(host),
      options_(std::move(options)),
      leases_(environment, options_.self, options_.task_lease + kLeaseMargin),
      tick_timer_(environment) {}

void ScaleTask::OnAnnouncement(const LeaseAnnouncement& announcement) {
  if (announcement.subject.starts_with(kSubjectPrefix)) leases_.OnAnnouncement(announcement);
}

void ScaleTask::OnReport(const PoolReport& report) {
  if (!caught_up_) return;
  const std::pair number{report.term, report.sequence};
  if (number <= newest_report_) return;
  // Lateness and calm of the former leader's reports are not those of this one's.
  if (report.term > newest_report_.first) {
    for (auto& [service, trend] : trends_) trend.Reset();
  }
  newest_report_ = number;
  const TimePoint now = environment_.Now();
  for (const PoolNeed& need : report.needs) {
    const ServiceScaling* scaling = ScalingOf(need.service);
    if (scaling == nullptr) continue;
    if (NeedOf(need.service) == nullptr) trends_[need.service].Reset();
    needs_[need.service] = {need, now};
    trends_[need.service].Observe(now, PoolOf(need.service, *scaling, CountServers(need.service)));
  }
}

void ScaleTask::Run() {
  if (!tick_timer_.armed()) Tick();
}

void ScaleTask::Tick() {
  const auto term = host_.LeadingTerm();
  if (!term) return BeginTerm(Term());
  if (*term != term_) BeginTerm(*term);
  tick_timer_.Arm(kTick, [this] { Tick(); });
  if (!caught_up_ || !host_.CanCommitSizes()) return;
  const RouteTable* routes = Routes();
  if (routes == nullptr) return;
  ObserveEnded();
  for (const Service& service : routes->services) {
    if (service.scaling) Manage(service.name, *service.scaling);
  }
}

void ScaleTask::BeginTerm(Term term) {
  term_ = term;
  subjects_.clear();
  present_.clear();
  ended_at_.clear();
  newest_report_ = {};
  needs_.clear();
  trends_.clear();
  ClearMetrics();
  caught_up_ = false;
  if (term != Term()) CatchUp();
}

void ScaleTask::CatchUp() {
  host_.CatchUp(alive_.Guard([this, term = term_](bool caught_up) {
    if (term != term_) return;
    caught_up_ = caught_up;
    if (!caught_up)
      environment_.Schedule(kFirstBackOff, alive_.Guard([this, term] {
        if (term == term_) CatchUp();
      }));
  }));
}

const RouteTable* ScaleTask::Routes() {
  const RoutingDocument& document = host_.configuration().routing;
  if (document.version != routes_version_) {
    routes_version_ = document.version;
    routes_.reset();
    auto read = reader_.Read(document.content);
    if (read.ok()) routes_ = *std::move(read);
  }
  return routes_ ? &*routes_ : nullptr;
}

const ServiceScaling* ScaleTask::ScalingOf(const ServiceName& service) {
  const RouteTable* routes = Routes();
  const Service* found = routes == nullptr ? nullptr : routes->FindService(service);
  return found == nullptr || !found->scaling ? nullptr : &*found->scaling;
}

void ScaleTask::Manage(const ServiceName& service, const ServiceScaling& scaling) {
  Counts counts = CountServers(service);
  for (const auto& [key, size] : host_.pool_sizes()) {
    if (key.first == service) counts.try_emplace(key.second);
  }
  for (const auto& [zone, count] : counts) UpdateInitial({service, zone}, counts);
  const Pool pool = PoolOf(service, scaling, counts);
  SetMetrics(service, pool);
  Decide(service, pool);
  for (const auto& [zone, state] : pool.zones) Continue({service, zone});
}

void ScaleTask::ObserveEnded() {
  const TimePoint now = environment_.Now();
  std::erase_if(ended_at_, [&](const auto& entry) { return now - entry.second > kEndedRecently; });
  for (const auto& [id, instance] : host_.configuration().instances) {
    if (instance.state != MemberState::kGone) {
      present_.insert(id);
      ended_at_.erase(id);
    } else if (present_.erase(id) > 0) {
      // Those that ended before this leader first looked are left out: it is not known when.
      ended_at_[id] = now;
    }
  }
}

ScaleTask::Counts ScaleTask::CountServers(const ServiceName& service) const {
  Counts counts;
  for (const auto& [id, instance] : host_.configuration().instances) {
    if (instance.service != service) continue;
    if (instance.state != MemberState::kLive || instance.superseded) {
      const bool ending = instance.state == MemberState::kLeaving || ended_at_.contains(id);
      if (!ending || instance.spot) continue;
      Count& count = counts[instance.zone];
      count.changing = true;
      // The incarnation that replaces it counts itself.
      count.ending += instance.superseded ? 0 : 1;
      continue;
    }
    Count& count = counts[instance.zone];
    ++(instance.spot ? count.spot : count.on_demand);
    count.slots += instance.slots;
  }
  return counts;
}

ScaleTask::Subject& ScaleTask::SubjectOf(const SubjectKey& key) {
  const auto [found, added] = subjects_.try_emplace(key);
  if (added) {
    const TimePoint now = environment_.Now();
    found->second.settled_at = now + kInitialSettled;
    found->second.counted_since = now;
    const PoolSize* size = SizeOf(key);
    // Servers that an earlier leader ordered may still be booting.
    if (size != nullptr && size->wanted > size->initial) found->second.ordered_at = now;
  }
  return found->second;
}

const PoolSize* ScaleTask::SizeOf(const SubjectKey& key) const {
  const auto found = host_.pool_sizes().find(key);
  return found == host_.pool_sizes().end() ? nullptr : &found->second;
}

uint32_t ScaleTask::SlotsOf(const Counts& counts) {
  uint32_t slots = 0;
  for (const auto& [zone, count] : counts) slots += count.slots;
  return slots;
}

void ScaleTask::UpdateInitial(const SubjectKey& key, const Counts& counts) {
  const Count& count = counts.at(key.second);
  Subject& subject = SubjectOf(key);
  const TimePoint now = environment_.Now();
  const uint32_t counted = count.on_demand + count.ending;
  if (counted != subject.counted) {
    subject.counted = counted;
    subject.counted_since = now;
  }
  const PoolSize* size = SizeOf(key);
  if (size != nullptr && size->ordered) return KeepSurplus(key, *size, counts);
  if (count.changing) subject.settled_at = std::max(subject.settled_at, now + kCountLasts);
  const bool is_new = size == nullptr || counted > size->initial;
  if (!is_new || subject.committing || now - subject.counted_since < kCountLasts) return;
  if (now < subject.next_call_at) return;
  const Duration settles = size == nullptr ? kFirstSettled : kInitialSettled;
  subject.settled_at = std::max(subject.settled_at, now + settles);
  Commit(key, {key.first, key.second, counted, counted, counted, false});
}

void ScaleTask::KeepSurplus(const SubjectKey& key, const PoolSize& size, const Counts& counts) {
  const uint32_t counted = counts.at(key.second).on_demand;
  Subject& subject = SubjectOf(key);
  const TimePoint now = environment_.Now();
  if (!HasSurplus(size, subject, counted)) return subject.surplus_since.reset();
  if (!subject.surplus_since) subject.surplus_since = now;
  if (subject.committing || subject.calling || now < subject.next_call_at) return;
  if (now - *subject.surplus_since < kSurplusLasts) return;
  // The platform may have replaced servers that are still registered but do not answer.
  const PoolNeed* need = NeedOf(key.first);
  if (need == nullptr || need->answering_slots < SlotsOf(counts)) return;
  const uint32_t known = std::max({size.initial, size.accepted, subject.uncertain});
  PoolSize raised = size;
  raised.initial = size.initial + (counted - known);
  raised.wanted = counted;
  raised.accepted = counted;
  Commit(key, raised);
}

bool ScaleTask::HasSurplus(const PoolSize& size, const Subject& subject, uint32_t counted) {
  // Until a release is accepted, its server is still there.
  return counted > std::max({size.wanted, size.accepted, subject.uncertain});
}

Pool ScaleTask::PoolOf(const ServiceName& service, const ServiceScaling& scaling,
                       const Counts& counts) {
  Pool pool;
  pool.scaling = scaling;
  uint32_t servers = 0;
  const uint32_t slots = SlotsOf(counts);
  for (const auto& [zone, count] : counts) servers += count.on_demand + count.spot;
  pool.registered_slots = slots;
  if (servers > 0) pool.slots_per_server = std::max(1U, slots / servers);
  const auto need = needs_.find(service);
  if (need != needs_.end()) pool.need = need->second.need;
  for (const auto& [key, size] : host_.pool_sizes()) {
    if (key.first != service) continue;
    const Subject& subject = SubjectOf(key);
    ZonePool zone;
    const auto count = counts.find(key.second);
    if (count != counts.end()) {
      zone.serving = count->second.on_demand;
      zone.spot = count->second.spot;
    }
    zone.initial = size.initial;
    zone.wanted = size.wanted;
    if (subject.ordered_at) zone.since_order = environment_.Now() - *subject.ordered_at;
    zone.open = IsOpen(size, subject, zone.serving);
    pool.zones[key.second] = zone;
  }
  return pool;
}

bool ScaleTask::IsOpen(const PoolSize& size, const Subject& subject, uint32_t counted) const {
  const TimePoint now = environment_.Now();
  // The next number would be based on too few servers.
  if (counted > size.wanted) return false;
  if (subject.committing || subject.calling || now < subject.closed_until) return false;
  if (host_.configuration().evacuated_zones.contains(size.zone)) return false;
  if (size.ordered) return subject.confirmed == size.wanted;
  return size.initial > 0 && now >= subject.settled_at;
}

const PoolNeed* ScaleTask::NeedOf(const ServiceName& service) const {
  const auto found = needs_.find(service);
  if (found == needs_.end()) return nullptr;
  return environment_.Now() - found->second.at > kNeedLifetime ? nullptr : &found->second.need;
}

void ScaleTask::Decide(const ServiceName& service, const Pool& pool) {
  PoolTrend& trend = trends_[service];
  if (NeedOf(service) == nullptr) return trend.Reset();
  // The numbers being committed are not part of the pool yet.
  for (const auto& [zone, state] : pool.zones) {
    if (SubjectOf({service, zone}).committing) return;
  }
  const TimePoint now = environment_.Now();
  if (trend.MayOrder()) {
    for (const PoolChange& change : DecideOrders(pool)) Change(service, pool, change);
    return;
  }
  if (!trend.MayRelease(now)) return;
  const auto release = DecideRelease(pool);
  if (!release) return;
  trend.OnReleased(now);
  Change(service, pool, *release);
}

void ScaleTask::Change(const ServiceName& service, const Pool& pool, const PoolChange& change) {
  const SubjectKey key{service, change.zone};
  const PoolSize* committed = SizeOf(key);
  if (host_.LeadingTerm() != term_ || committed == nullptr) return;
  PoolSize size = *committed;
  const bool adds = change.wanted > size.wanted;
  LogEvent(adds ? EventId::kPoolOrdered : EventId::kPoolReleased,
           "service={} zone={} wanted={} before={} initial={} late_ms={} missing_slots={:.1f} "
           "busy_slots={} serving={} price={} fence={}",
           service, change.zone, change.wanted, size.wanted, size.initial,
           ToMilliseconds(FromSeconds(pool.need.lateness_seconds.value_or(0))),
           pool.need.missing_slots, pool.need.busy_slots, pool.Serving(), pool.PriceOf(change.zone),
           term_);
  size.wanted = change.wanted;
  size.ordered = true;
  if (adds) SubjectOf(key).ordered_at = environment_.Now();
  Commit(key, size);
}

void ScaleTask::Commit(const SubjectKey& key, const PoolSize& size) {
  // An earlier build would skip the entry.
  if (!host_.CanCommitSizes()) {
    SubjectOf(key).next_call_at = environment_.Now() + kFirstBackOff;
    return;
  }
  SubjectOf(key).committing = true;
  host_.Propose(SetPoolSize{size}, alive_.Guard([this, key, term = term_](bool committed) {
    if (term != term_) return;
    Subject& subject = SubjectOf(key);
    subject.committing = false;
    // With an unknown outcome, the committed state tells later what became of it.
    if (!committed) subject.next_call_at = environment_.Now() + kFirstBackOff;
    Continue(key);
  }));
}

void ScaleTask::Continue(const SubjectKey& key) {
  const PoolSize* size = SizeOf(key);
  Subject& subject = SubjectOf(key);
  const TimePoint now = environment_.Now();
  if (size == nullptr || !size->ordered) return;
  if (subject.committing || subject.calling) return;
  if (now < subject.next_call_at || now < subject.closed_until) return;
  if (subject.confirmed == size->wanted) {
    if (size->accepted == size->wanted) return;
    // The commit of the accepted number failed.
    PoolSize accepted = *size;
    accepted.accepted = size->wanted;
    return Commit(key, accepted);
  }
  if (!leases_.MayOperateOn(SubjectName(key.first, key.second), term_)) return;
  Announce(key);
}

void ScaleTask::Announce(const SubjectKey& key) {
  if (!host_.CanCommitSizes()) return;
  SubjectOf(key).calling = true;
  const TimePoint now = environment_.Now();
  const AnnounceTaskLease announce{
      {options_.self, SubjectName(key.first, key.second), term_, now.time_since_epoch()}};
  host_.Propose(announce, alive_.Guard([this, key, now, term = term_](bool committed) {
    if (term != term_) return;
    if (committed) return Send(key, now);
    SubjectOf(key).calling = false;
    BackOff(SubjectOf(key));
  }));
}

void ScaleTask::Send(const SubjectKey& key, TimePoint announced_at) {
  // By now every earlier announcement is applied here.
  Subject& subject = SubjectOf(key);
  const std::string name = SubjectName(key.first, key.second);
  const PoolSize* size = SizeOf(key);
  const Counts counts = CountServers(key.first);
  const auto count = counts.find(key.second);
  const bool surplus = size != nullptr && count != counts.end() &&
                       HasSurplus(*size, subject, count->second.on_demand);
  const bool in_time = leases_.MayStillOperateOn(name, term_, announced_at);
  if (!in_time || host_.LeadingTerm() != term_ || size == nullptr || surplus ||
      ScalingOf(key.first) == nullptr) {
    LogEvent(EventId::kDutyWithheld, "subject={} term={} announced_ms={}", name, term_,
             ToMilliseconds(environment_.Now() - announced_at));
    subject.calling = false;
    return BackOff(subject);
  }
  subject.call = std::make_unique<BoundedCall>(
      environment_, kCallTimeout,
      alive_.Guard([this, key, sent = size->wanted, term = term_](int status, const std::string&) {
        if (term == term_) HandleAnswer(key, sent, protocol_.ReadAnswer(status));
      }));
  subject.call->Start(http_, options_.platform,
                      protocol_.MakeScaleCall(*size, {options_.machine, term_.value()}));
}

void ScaleTask::HandleAnswer(const SubjectKey& key, uint32_t sent, ScaleAnswer answer) {
  Subject& subject = SubjectOf(key);
  subject.call.reset();
  subject.calling = false;
  LogEvent(EventId::kPoolOrderAnswered, "service={} zone={} wanted={} answer={} fence={}",
           key.first, key.second, sent, ScaleAnswerName(answer), term_);
  if (options_.stats != nullptr) {
    options_.stats
        ->NewCounter({"millstair_pool_orders_total",
                      "Calls that set a number of servers, by the platform's answer.", "answer",
                      std::string(ScaleAnswerName(answer))})
        .Add();
  }
  // The numbers are lost if this replica was restored by an earlier build.
  const PoolSize* committed = SizeOf(key);
  if (host_.LeadingTerm() != term_ || committed == nullptr) return;
  switch (answer) {
    case ScaleAnswer::kAccepted: {
      subject.confirmed = sent;
      subject.back_off = Duration(0);
      subject.uncertain = 0;
      PoolSize size = *committed;
      if (size.accepted == sent) return;
      size.accepted = sent;
      return Commit(key, size);
    }
    case ScaleAnswer::kUnavailable:
    case ScaleAnswer::kRefused:
      return HandleRejection(key, subject);
    case ScaleAnswer::kUnknown:
      subject.uncertain = std::max(subject.uncertain, sent);
      return BackOff(subject);
    case ScaleAnswer::kBusy:
      return BackOff(subject);
  }
}

void ScaleTask::HandleRejection(const SubjectKey& key, Subject& subject) {
  subject.closed_until = environment_.Now() + kUnavailablePause;
  subject.back_off = Duration(0);
  const PoolSize* committed = SizeOf(key);
  if (host_.LeadingTerm() != term_ || committed == nullptr) return;
  PoolSize size = *committed;
  const Counts counts = CountServers(key.first);
  const auto count = counts.find(key.second);
  const uint32_t serving = count == counts.end() ? 0 : count->second.on_demand;
  // Servers of the order that have registered stay.
  const uint32_t accepted = std::max({size.initial, size.accepted, std::min(size.wanted, serving)});
  if (size.wanted <= accepted) return;
  // Other zones get the servers. The accepted number is stated to the platform after the pause, in
  // case an earlier call with an unknown outcome was carried out.
  size.wanted = accepted;
  subject.ordered_at.reset();
  subject.confirmed.reset();
  Commit(key, size);
}

void ScaleTask::BackOff(Subject& subject) {
  subject.back_off = std::clamp(subject.back_off * 2, kFirstBackOff, kMaxBackOff);
  subject.next_call_at = environment_.Now() + subject.back_off;
}

void ScaleTask::SetMetrics(const ServiceName& service, const Pool& pool) {
  for (const auto& [zone, state] : pool.zones) {
    SetGauge({"millstair_pool_servers_wanted",
              "On-demand servers that the platform is to provide, by service/zone.", "pool",
              service.value() + "/" + zone.value()},
             state.wanted);
  }
  const PoolNeed* need = NeedOf(service);
  SetGauge({"millstair_pool_missing_slots",
            "Slots that are missing for the open steps to be in time; 0 without a report.",
            "service", service.value()},
           need == nullptr ? 0 : need->missing_slots);
}

void ScaleTask::SetGauge(const StatName& name, double value) {
  if (options_.stats == nullptr) return;
  const auto [gauge, added] = gauges_.try_emplace({name.name, name.label_value}, nullptr);
  if (added) gauge->second = &options_.stats->NewGauge(name);
  gauge->second->Set(value);
}

void ScaleTask::ClearMetrics() {
  for (const auto& [name, gauge] : gauges_) gauge->Set(0);
}

std::unique_ptr<LeaderTask> MakeScaleTask(Environment& environment, HttpCaller& http,
                                          const ScaleProtocol& protocol,
                                          const RoutingDocumentReader& reader, ControlNode& control,
                                          ScaleOptions options) {
  return std::make_unique<ControlNodeScaleTask>(environment, http, protocol, reader, control,
                                                std::move(options));
}

}  // namespace millstair

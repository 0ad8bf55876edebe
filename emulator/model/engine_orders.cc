// Fenced orders of an engine model: staging, swaps, adapters, role.
#include <algorithm>
#include <utility>

#include "common/random.h"
#include "emulator/model/engine_model_impl.h"

namespace millstair {

EngineModel::Impl::OrderId EngineModel::Impl::OpenOrder(OrderDone done) {
  const OrderId id = next_order_++;
  orders_[id] = std::move(done);
  return id;
}

void EngineModel::Impl::CloseOrder(OrderId id, absl::Status status) {
  const auto found = orders_.find(id);
  if (found == orders_.end()) return;
  const OrderDone done = std::move(found->second);
  orders_.erase(found);
  done(std::move(status));
}

void EngineModel::Impl::CloseOrderLater(OrderId id, absl::Status status) {
  After(Duration(0), [this, id, status = std::move(status)] { CloseOrder(id, status); });
}

void EngineModel::Impl::ApplyOrder(const EngineOrder& order, OrderDone done) {
  const OrderId id = OpenOrder(std::move(done));
  if (!running_) {
    return CloseOrderLater(id, absl::UnavailableError("the engine does not run"));
  }
  if (absl::Status fence = memory_->weights.AcceptFence(order.fence); !fence.ok()) {
    ++counts_.orders_refused_by_fence;
    return CloseOrderLater(id, std::move(fence));
  }
  ++counts_.orders_accepted;
  switch (order.kind) {
    case OrderKind::kStage:
      Stage(order, id);
      break;
    case OrderKind::kActivate:
      Activate(order, id);
      break;
    case OrderKind::kUnload:
      Unload(order);
      CloseOrderLater(id, absl::OkStatus());
      break;
    case OrderKind::kLoadAdapter:
      LoadAdapter(order, id);
      break;
    case OrderKind::kUnloadAdapter:
      memory_->weights.RemoveAdapter(order.adapter);
      CloseOrderLater(id, absl::OkStatus());
      break;
    case OrderKind::kChangeRole:
      memory_->weights.SetRole(order.role);
      CloseOrderLater(id, absl::OkStatus());
      break;
  }
  RecordState();
}

void EngineModel::Impl::FetchWeights(const std::string& location,
                                     std::function<void(absl::StatusOr<WeightDigest>)> done) {
  if (!links_.fetch_weights) {
    return After(options_.default_fetch_time, [done = std::move(done)] { done(WeightDigest()); });
  }
  links_.fetch_weights(location, [weak = weak_from_this(), epoch = epoch_,
                                  done = std::move(done)](absl::StatusOr<WeightDigest> digest) {
    const std::shared_ptr<Impl> self = weak.lock();
    if (self != nullptr && self->epoch_ == epoch) done(std::move(digest));
  });
}

void EngineModel::Impl::Stage(const EngineOrder& order, OrderId id) {
  const WeightsId weights{order.model, order.version, order.digest};
  if (memory_->weights.Holds(weights)) return CloseOrderLater(id, absl::OkStatus());
  if (absl::Status status = memory_->weights.CheckStage(weights); !status.ok()) {
    return CloseOrderLater(id, std::move(status));
  }
  for (Fetch& fetch : memory_->fetches) {
    if (fetch.weights == weights) return fetch.orders.push_back(id);
  }
  memory_->fetches.push_back({weights, {id}});
  FetchWeights(order.location, [this, weights](absl::StatusOr<WeightDigest> fetched) {
    FinishFetch(weights, std::move(fetched));
  });
}

void EngineModel::Impl::FinishFetch(const WeightsId& weights,
                                    absl::StatusOr<WeightDigest> fetched) {
  std::vector<Fetch>& fetches = memory_->fetches;
  const auto found = std::find_if(fetches.begin(), fetches.end(),
                                  [&](const Fetch& fetch) { return fetch.weights == weights; });
  if (found == fetches.end()) return;
  const std::vector<OrderId> orders = std::move(found->orders);
  fetches.erase(found);

  absl::Status status = fetched.status();
  WeightsId staged = weights;
  if (fetched.ok() && *fetched != WeightDigest()) {
    if (staged.digest == WeightDigest()) staged.digest = *fetched;
    if (staged.digest != *fetched) {
      status = absl::DataLossError("the fetched bytes have digest " + fetched->value());
    }
  }
  if (status.ok()) memory_->weights.AddStaged(std::move(staged));
  RecordState();
  for (const OrderId id : orders) CloseOrder(id, status);
}

void EngineModel::Impl::Activate(const EngineOrder& order, OrderId id) {
  WeightState& weights = memory_->weights;
  const WeightsId& active = weights.active();
  const bool same_model = order.model == active.model;
  const bool same_digest = order.digest == WeightDigest() || order.digest == active.digest;
  const bool consistent = weights.shards() == ShardState::kConsistent;
  if (consistent && same_model && same_digest && order.version == active.version) {
    return CloseOrderLater(id, absl::OkStatus());
  }
  if (!same_model && !memory_->batch.empty()) {
    return CloseOrderLater(id, absl::FailedPreconditionError("another model is in use"));
  }
  absl::Status begun = weights.BeginSwap({order.model, order.version, order.digest});
  if (!begun.ok()) return CloseOrderLater(id, std::move(begun));
  memory_->swap_order = id;
  // Steps in progress complete first; the swap starts before the next ones.
  if (tick_busy_) return;
  tick_busy_ = true;
  After(Duration(0), [this] { StartTick(); });
}

void EngineModel::Impl::BeginSwap() {
  tick_busy_ = true;
  if (!Send(memory_->batch.WithUnsent())) return;
  const bool failed = std::exchange(fail_next_activation_, false) ||
                      DrawChance(environment_.Random(), options_.activate_failure);
  const Duration time = failed ? options_.activate_time / 2 : options_.activate_time;
  After(time, [this, failed] { EndSwap(failed); });
}

void EngineModel::Impl::EndSwap(bool failed) {
  const std::shared_ptr<Impl> self = shared_from_this();
  ++(failed ? counts_.swaps_failed : counts_.swaps);
  if (failed) {
    memory_->weights.FailSwap();
  } else {
    memory_->weights.FinishSwap();
  }
  memory_->cache.DiscardContents();
  memory_->batch.StopSharing();
  RecordState();
  const std::optional<OrderId> order = std::exchange(memory_->swap_order, std::nullopt);
  tick_busy_ = false;
  EnsureTick();
  if (!order) return;
  CloseOrder(*order, failed ? absl::AbortedError("half of the shards kept the old weights")
                            : absl::OkStatus());
}

void EngineModel::Impl::Unload(const EngineOrder& order) {
  memory_->weights.Unload(order.model, order.version);
  std::vector<Fetch>& fetches = memory_->fetches;
  for (size_t i = 0; i < fetches.size();) {
    const WeightsId& weights = fetches[i].weights;
    if (weights.model != order.model || weights.version != order.version) {
      ++i;
      continue;
    }
    for (const OrderId id : fetches[i].orders) {
      CloseOrderLater(id, absl::FailedPreconditionError("unloaded during the fetch"));
    }
    fetches.erase(fetches.begin() + static_cast<std::ptrdiff_t>(i));
  }
}

void EngineModel::Impl::LoadAdapter(const EngineOrder& order, OrderId id) {
  if (memory_->weights.HasAdapter(order.adapter)) return CloseOrderLater(id, absl::OkStatus());
  FetchWeights(order.location,
               [this, id, name = order.adapter](absl::StatusOr<WeightDigest> fetched) {
                 if (fetched.ok()) memory_->weights.AddAdapter(name);
                 CloseOrder(id, fetched.status());
               });
}

}  // namespace millstair

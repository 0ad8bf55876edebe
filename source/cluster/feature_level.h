/// What a build reads of messages between nodes, entries of the cluster's log and its snapshots.
/// Builds of two levels run side by side while a fleet is replaced: fields that are added are
/// passed over by the build before; an entry of a new kind is not, so it is proposed only once
/// every node that is live has said in its heartbeats that it reads it.
#pragma once

#include <cstdint>

#include "common/ids.h"

namespace millstair {

using FeatureLevel = uint32_t;

/// Heartbeats say no level: only what the first builds knew is read.
inline constexpr FeatureLevel kFirstLevel = 0;
/// Evacuated zones are read, and obeyed.
inline constexpr FeatureLevel kEvacuationLevel = 1;
/// Reports of several back ends in one entry are read.
inline constexpr FeatureLevel kGroupedReportsLevel = 1;
/// A control node without a replica relays, and a node that asks in a search turns to whoever can
/// prove what it lacks.
inline constexpr FeatureLevel kRelayLevel = 1;
/// What this build reads.
inline constexpr FeatureLevel kOwnLevel = kEvacuationLevel;

/// The live node that reads least, which decides what may be proposed.
struct MinFeatureLevel {
  FeatureLevel level = kOwnLevel;
  NodeId node;
};

}  // namespace millstair

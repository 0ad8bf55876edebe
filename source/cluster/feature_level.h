/// Feature levels: which messages, log entries and snapshots a build can decode. Builds of two
/// levels run side by side during an upgrade. An earlier build skips unknown fields but cannot
/// decode unknown kinds of entries, so a new kind is proposed only once every live node has
/// reported its support in heartbeats.
#pragma once

#include <cstdint>

#include "common/ids.h"

namespace millstair {

using FeatureLevel = uint32_t;

/// Heartbeats without a level: only the features of the first builds are supported.
inline constexpr FeatureLevel kFirstLevel = 0;
/// Evacuated zones are decoded and get no requests.
inline constexpr FeatureLevel kEvacuationLevel = 1;
/// Entries with the reports of several back ends are decoded.
inline constexpr FeatureLevel kGroupedReportsLevel = 1;
/// Control nodes without a replica relay, and a node that looks for a newer configuration uses any
/// node that can confirm it.
inline constexpr FeatureLevel kRelayLevel = 1;
/// Entries of a job group with the paces of engines, and numbers of ordered servers, are decoded.
inline constexpr FeatureLevel kEnginePacesLevel = 2;
inline constexpr FeatureLevel kPoolScalingLevel = 2;
/// Level of this build.
inline constexpr FeatureLevel kOwnLevel = 2;

/// The lowest level among live nodes, with its node; it limits what may be proposed.
struct MinFeatureLevel {
  FeatureLevel level = kOwnLevel;
  NodeId node;
};

}  // namespace millstair

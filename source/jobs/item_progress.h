/// The text that engines have made of an item so far.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/ids.h"
#include "ingress/backend_protocol.h"

namespace millstair {

/// Events are numbered without gaps from 1.
struct ItemProgress {
  std::string text;
  uint64_t events = 0;
  /// All versions that made parts of the text, without duplicates.
  std::vector<WeightVersion> versions;
  /// Version of the latest event.
  WeightVersion version;

  void Append(const StreamEvent& event);
  void Clear() { *this = ItemProgress(); }
  friend bool operator==(const ItemProgress&, const ItemProgress&) = default;
};

}  // namespace millstair

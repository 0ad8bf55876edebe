/// Client sessions: the last results of each client, so that a resend gets the first result.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/cluster_commands.h"
#include "common/ids.h"
#include "common/time.h"

namespace millstair {

struct SessionLimits {
  /// Beyond this number, the least recently used session is evicted.
  size_t max_sessions = 2048;
  /// Results retained per session; older ones are removed.
  size_t max_answers = 32;
  /// Sessions unused for this long, by the state machine's clock, expire.
  std::chrono::hours expiry{24};
};

struct SessionAnswer {
  /// Digest of the operation, used to reject another command with the same sequence.
  uint64_t command_digest = 0;
  /// Encoded ClusterResult.
  std::string result;
  friend bool operator==(const SessionAnswer&, const SessionAnswer&) = default;
};

struct Session {
  WallTime last_used;
  /// Largest sequence whose result was removed; 0 if none.
  ClientSequence forgotten_through;
  std::map<ClientSequence, SessionAnswer> answers;
  friend bool operator==(const Session&, const Session&) = default;
};

/// Part of the replicated state: deterministic, with bounded memory.
class SessionTable {
 public:
  enum class Lookup : uint8_t {
    kNew,       ///< not seen: run it, then Store the result
    kAnswered,  ///< `*answer` is the first result
    kReused,    ///< the sequence belongs to another command
    kExpired,   ///< the first result is no longer stored; must not be run
  };

  explicit SessionTable(SessionLimits limits) : limits_(limits) {}

  void Open(const ClientId& client, WallTime now);
  Lookup Find(const SessionStamp& stamp, uint64_t command_digest, std::string* answer) const;
  /// Stores the result of a command for which Find returned kNew.
  void Store(const SessionStamp& stamp, SessionAnswer answer, WallTime now);
  /// Removes sessions unused for longer than the expiry.
  void Expire(WallTime now);

  const std::map<ClientId, Session>& sessions() const { return sessions_; }
  void Replace(std::map<ClientId, Session> sessions);

 private:
  /// Ordered by last use; ties are broken by name, so the order is the same on every replica.
  struct Use {
    WallTime last_used;
    ClientId client;
    friend auto operator<=>(const Use&, const Use&) = default;  // NOLINT
  };

  void Touch(const ClientId& client, Session& session, WallTime now);

  SessionLimits limits_;
  std::map<ClientId, Session> sessions_;
  std::set<Use> uses_;
};

}  // namespace millstair

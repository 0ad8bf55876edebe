/// Sessions of clients: the last answers of each, so that a resend gets its first answer.
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
  /// The least recently used session makes room for a new one.
  size_t max_sessions = 2048;
  /// Answers kept for each session; older ones are forgotten.
  size_t max_answers = 32;
  /// A session unused for this long, by the state machine's clock, expires.
  std::chrono::hours expiry{24};
};

struct SessionAnswer {
  /// Digest of the operation, so that another command under the same sequence is refused.
  uint64_t command_digest = 0;
  /// Encoded ClusterResult.
  std::string result;
  friend bool operator==(const SessionAnswer&, const SessionAnswer&) = default;
};

struct Session {
  WallTime last_used;
  /// Largest sequence whose answer was dropped; 0 is none.
  ClientSequence forgotten_through;
  std::map<ClientSequence, SessionAnswer> answers;
  friend bool operator==(const Session&, const Session&) = default;
};

/// Part of the replicated state: bounded, deterministic.
class SessionTable {
 public:
  enum class Lookup : uint8_t {
    kNew,       ///< not seen: run it, then Store the answer
    kAnswered,  ///< `*answer` is the first answer
    kReused,    ///< the sequence was used for another command
    kExpired,   ///< too old to be answered: neither run nor answered
  };

  explicit SessionTable(SessionLimits limits) : limits_(limits) {}

  void Open(const ClientId& client, WallTime now);
  Lookup Find(const SessionStamp& stamp, uint64_t command_digest, std::string* answer) const;
  /// Keeps the answer of a command that Find called new.
  void Store(const SessionStamp& stamp, SessionAnswer answer, WallTime now);
  /// Drops sessions unused for longer than the expiry.
  void Expire(WallTime now);

  const std::map<ClientId, Session>& sessions() const { return sessions_; }
  void Replace(std::map<ClientId, Session> sessions);

 private:
  /// Order of last use; ties are broken by name, so it is the same on every replica.
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

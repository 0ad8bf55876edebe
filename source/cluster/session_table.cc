#include "cluster/session_table.h"

namespace millstair {

void SessionTable::Open(const ClientId& client, WallTime now) {
  if (!sessions_.contains(client) && sessions_.size() >= limits_.max_sessions) {
    const Use oldest = *uses_.begin();
    uses_.erase(uses_.begin());
    sessions_.erase(oldest.client);
  }
  Touch(client, sessions_[client], now);
}

SessionTable::Lookup SessionTable::Find(const SessionStamp& stamp, uint64_t command_digest,
                                        std::string* answer) const {
  const auto session = sessions_.find(stamp.client);
  if (session == sessions_.end()) return Lookup::kExpired;
  const auto found = session->second.answers.find(stamp.sequence);
  if (found != session->second.answers.end()) {
    if (found->second.command_digest != command_digest) return Lookup::kReused;
    *answer = found->second.result;
    return Lookup::kAnswered;
  }
  if (stamp.sequence <= session->second.forgotten_through) return Lookup::kExpired;
  return Lookup::kNew;
}

void SessionTable::Store(const SessionStamp& stamp, SessionAnswer answer, WallTime now) {
  Session& session = sessions_[stamp.client];
  Touch(stamp.client, session, now);
  session.answers[stamp.sequence] = std::move(answer);
  while (session.answers.size() > limits_.max_answers) {
    session.forgotten_through = session.answers.begin()->first;
    session.answers.erase(session.answers.begin());
  }
}

void SessionTable::Expire(WallTime now) {
  while (!uses_.empty() && uses_.begin()->last_used + limits_.expiry < now) {
    sessions_.erase(uses_.begin()->client);
    uses_.erase(uses_.begin());
  }
}

void SessionTable::Replace(std::map<ClientId, Session> sessions) {
  sessions_ = std::move(sessions);
  uses_.clear();
  for (const auto& [client, session] : sessions_) uses_.insert({session.last_used, client});
}

void SessionTable::Touch(const ClientId& client, Session& session, WallTime now) {
  uses_.erase({session.last_used, client});
  session.last_used = now;
  uses_.insert({now, client});
}

}  // namespace millstair

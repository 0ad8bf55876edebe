/// Identifiers shared by all modules.
#pragma once

#include <cstdint>
#include <string>

#include "common/strong_id.h"

namespace millstair {

/// Name of a node (one millstaird process) from its settings; stable across restarts.
using NodeId = StrongId<struct NodeIdTag, std::string>;
/// Identity of the disk of one replica. A node that lost its disk gets a new one; 0 means none.
using ReplicaId = StrongId<struct ReplicaIdTag, uint64_t>;
/// New at each start of a process; distinguishes the incarnations of one name. A later one is
/// usually larger, but clocks may jump, so correctness must not depend on the order.
using Incarnation = StrongId<struct IncarnationTag, uint64_t>;
/// Zone name, for example "dar-msasani".
using Zone = StrongId<struct ZoneTag, std::string>;

/// Raft term; 0 before the first election.
using Term = StrongId<struct TermTag, uint64_t>;
/// Position in a Raft log; the first entry is 1.
using LogIndex = StrongId<struct LogIndexTag, uint64_t>;
/// Name of a Raft group: "cluster" or "stream/<stream name>@<generation>". Nodes without the group
/// address a stream as "stream/<stream name>".
using GroupId = StrongId<struct GroupIdTag, std::string>;
/// Revision of the cluster configuration: the index in the cluster log of the last change.
using Revision = StrongId<struct RevisionTag, uint64_t>;

/// Name of a model resource.
using ModelName = StrongId<struct ModelNameTag, std::string>;
/// Name of an engine resource (a model engine or a plain HTTP server).
using EngineName = StrongId<struct EngineNameTag, std::string>;
/// Name of a sample stream resource.
using StreamName = StrongId<struct StreamNameTag, std::string>;
/// Published weight version of a model; increases from 1 per model, 0 means none.
using WeightVersion = StrongId<struct WeightVersionTag, uint64_t>;
/// Digest of a weight version's bytes, as lower-case hex.
using WeightDigest = StrongId<struct WeightDigestTag, std::string>;

/// Identifier of a training step, chosen by the trainer.
using StepId = StrongId<struct StepIdTag, std::string>;
/// Identifier of a sample: "<step>/<index>", unique in its stream.
using SampleId = StrongId<struct SampleIdTag, std::string>;
/// Position of an accepted sample in its stream; the first is 1. Doubles as the trainer's cursor.
using StreamOffset = StrongId<struct StreamOffsetTag, uint64_t>;
/// Fencing number of a leased attempt at a sample; a later lease has a larger one.
using AttemptEpoch = StrongId<struct AttemptEpochTag, uint64_t>;

/// Identity of a client whose resent commands are deduplicated.
using ClientId = StrongId<struct ClientIdTag, std::string>;
/// Position of a command in its client's session; the first is 1.
using ClientSequence = StrongId<struct ClientSequenceTag, uint64_t>;

/// One incarnation of a back end that registers itself; each restart has a new one.
using InstanceId = StrongId<struct InstanceIdTag, std::string>;
/// Name of a service: the set of back ends of a route.
using ServiceName = StrongId<struct ServiceNameTag, std::string>;
/// Name of a tenant: an owner of API keys, requests and batch jobs.
using TenantName = StrongId<struct TenantNameTag, std::string>;
/// Identifies a request by its content: its tenant, target and body.
using RequestFingerprint = StrongId<struct RequestFingerprintTag, std::string>;
/// Identifier of a batch job, chosen by its client.
using JobId = StrongId<struct JobIdTag, std::string>;
/// Identifier of an item of a batch job, unique in its job.
using ItemId = StrongId<struct ItemIdTag, std::string>;

}  // namespace millstair

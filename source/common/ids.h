/// Identifiers shared by all modules.
#pragma once

#include <cstdint>
#include <string>

#include "common/strong_id.h"

namespace millstair {

/// Name of a node (one millstaird process) from its settings; stable across restarts.
using NodeId = StrongId<struct NodeIdTag, std::string>;
/// Identity of one replica's disk. A node that lost its disk gets a new one; 0 is none.
using ReplicaId = StrongId<struct ReplicaIdTag, uint64_t>;
/// Drawn anew at each start of a process; tells two lives of one name apart. The later one is
/// mostly larger, but clocks jump: nothing that a running process needs may hang on the order.
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
/// Published weight version of a model; counts up from 1 per model, 0 is none.
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

/// Identity of a client that wants a resent command answered once.
using ClientId = StrongId<struct ClientIdTag, std::string>;
/// Position of a command in its client's session; the first is 1.
using ClientSequence = StrongId<struct ClientSequenceTag, uint64_t>;

/// One life of a back end that registers itself; a restart has another one.
using InstanceId = StrongId<struct InstanceIdTag, std::string>;
/// Name of a service: the back ends that a route may send requests to.
using ServiceName = StrongId<struct ServiceNameTag, std::string>;
/// Name of a tenant: an owner of API keys, requests and batch jobs.
using TenantName = StrongId<struct TenantNameTag, std::string>;
/// Tells requests apart by their content: who asks, where, and for what.
using RequestFingerprint = StrongId<struct RequestFingerprintTag, std::string>;
/// Identifier of a batch job, chosen by its client.
using JobId = StrongId<struct JobIdTag, std::string>;
/// Identifier of an item of a batch job, unique in its job.
using ItemId = StrongId<struct ItemIdTag, std::string>;

}  // namespace millstair

/** @file replica.cpp Public interface of a replica and its builder. */
#include "consensus/replica_core_base.h"

namespace pollenstall {

replica::replica(std::unique_ptr<replica_core> NewCore) : Core(std::move(NewCore)) {}
replica::~replica() = default;
replica::replica(replica &&) noexcept = default;
replica &replica::operator=(replica &&) noexcept = default;

void replica::tick(mono_time Now) { Core->tick(Now); }

void replica::receive(consensus_message Message, mono_time Now) {
  Core->receive(std::move(Message), Now);
}

void replica::persisted(persist_number Number, mono_time Now) { Core->persisted(Number, Now); }

proposal_result replica::propose(std::string Payload, mono_time Now) {
  return Core->propose(std::move(Payload), Now);
}

void replica::readIndex(read_id Read, mono_time Now) { Core->readIndex(Read, Now); }

bool replica::snapshotTaken(log_index Index, std::string State, mono_time Now) {
  return Core->snapshotTaken(Index, std::move(State), Now);
}

proposal_result replica::admit(const member_key &Key, mono_time Now) {
  return Core->admit(Key, Now);
}

proposal_result replica::expel(member_id Member, mono_time Now) { return Core->expel(Member, Now); }
proposal_result replica::promote(const member_key &Key, mono_time Now) {
  return Core->promote(Key, Now);
}
void replica::addPeer(member_id Peer) { Core->addPeer(Peer); }
void replica::setDomain(member_id Member, failure_domain_name Domain) {
  Core->setDomain(Member, std::move(Domain));
}

std::vector<consensus_action> replica::takeActions(mono_time Now) { return Core->takeActions(Now); }

bool replica::leaseValid(mono_time Now) const { return Core->leaseValid(Now); }
mono_time replica::leaseEnd() const { return Core->leaseEnd(); }
replica_status replica::status(mono_time Now) const { return Core->status(Now); }
std::string replica::dump() const { return Core->dump(); }

replica_builder::replica_builder(member_key Key) : Self(Key) {}

replica_builder &replica_builder::options(const replica_options &NewOptions) {
  Options = NewOptions;
  return *this;
}

replica_builder &replica_builder::restored(restored_log Contents) {
  State = std::move(Contents);
  return *this;
}

replica_builder &replica_builder::peers(std::vector<member_id> Ids) {
  Peers = std::move(Ids);
  return *this;
}

replica_builder &replica_builder::bootstrapCluster(cluster_id NewCluster) {
  Cluster = NewCluster;
  return *this;
}

replica_builder &replica_builder::seed(std::uint64_t NewSeed) {
  Seed = NewSeed;
  return *this;
}

replica replica_builder::build(mono_time Now) {
  replica_arguments Arguments{Self, Options, std::move(State), std::move(Peers), Cluster, Seed};
  return replica(std::make_unique<replica_core>(std::move(Arguments), Now));
}

} // namespace pollenstall

//! What one controller knows of the others: a failure detector with suspicion before loss.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What a process can do beyond what all versions can, a set of bits. Versions that never stated
/// any have none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capabilities(pub u32);

impl Capabilities {
    /// Serves workers: answers their heartbeats under a grant.
    pub const SERVES_WORKERS: Capabilities = Capabilities(1);

    /// Whether all of these are among them.
    pub fn contains(self, other: Capabilities) -> bool {
        self.0 & other.0 == other.0
    }
}

/// What the failure detector says of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// No contact so far: of an older version, or not up.
    Unknown,
    /// In contact.
    Alive,
    /// Late. Nothing new is given to it, and nothing is taken for lost with it.
    Suspect,
    /// Without contact for so long that it counts as gone.
    Lost,
}

/// Another controller, as this one knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// The zone that it runs in.
    pub zone: String,
    /// Tells its process from an earlier one of the same name.
    pub incarnation: u64,
    /// What it stated last.
    pub capabilities: Capabilities,
    /// Workers that it serves.
    pub load: u32,
    /// When something last came from it.
    pub last_contact: Option<Instant>,
    /// When another controller last had contact with it, as far as that was reported.
    pub last_contact_by_others: Option<Instant>,
}

impl Member {
    fn new(zone: String) -> Member {
        Member {
            zone,
            incarnation: 0,
            capabilities: Capabilities::default(),
            load: 0,
            last_contact: None,
            last_contact_by_others: None,
        }
    }
}

/// How long a member may be silent.
#[derive(Clone, Copy, Debug)]
pub struct FailureDetectorTimeouts {
    /// Silent for longer than this, it is suspect.
    pub suspect_after: Duration,
    /// Silent for longer than this, it is lost, unless others are in contact with it.
    pub lost_after: Duration,
}

/// All other controllers by name.
#[derive(Clone, Debug)]
pub struct MembershipView {
    members: BTreeMap<String, Member>,
    timeouts: FailureDetectorTimeouts,
}

impl MembershipView {
    /// A view of the others, by name and zone, before any contact.
    pub fn new(
        others: impl IntoIterator<Item = (String, String)>,
        timeouts: FailureDetectorTimeouts,
    ) -> MembershipView {
        let members = others.into_iter();
        MembershipView {
            members: members
                .map(|(name, zone)| (name, Member::new(zone)))
                .collect(),
            timeouts,
        }
    }

    /// All members with their names, by name.
    pub fn members(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members
            .iter()
            .map(|(name, member)| (name.as_str(), member))
    }

    /// The member of this name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Something came from a member; false if none has this name.
    pub fn record_contact(
        &mut self,
        name: &str,
        incarnation: u64,
        capabilities: Capabilities,
        load: u32,
        now: Instant,
    ) -> bool {
        let Some(member) = self.members.get_mut(name) else {
            return false;
        };
        member.incarnation = incarnation;
        member.capabilities = capabilities;
        member.load = load;
        member.last_contact = Some(now);
        true
    }

    /// Another member reports when it last had contact with this one, and what it was then. What
    /// this node learned itself later than that stands.
    pub fn merge_report(
        &mut self,
        name: &str,
        capabilities: Capabilities,
        load: u32,
        contact: Instant,
    ) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        let newer_than = |known: Option<Instant>| known.is_none_or(|at| at < contact);
        if !newer_than(member.last_contact_by_others) {
            return;
        }
        member.last_contact_by_others = Some(contact);
        if newer_than(member.last_contact) {
            member.capabilities = capabilities;
            member.load = load;
        }
    }

    /// What the failure detector says of the member of this name.
    pub fn state(&self, name: &str, now: Instant) -> MemberState {
        let Some(member) = self.members.get(name) else {
            return MemberState::Unknown;
        };
        let Some(contact) = member.last_contact else {
            return MemberState::Unknown;
        };
        let silence = now.saturating_duration_since(contact);
        let others_reach_it = member.last_contact_by_others.is_some_and(|at| {
            now.saturating_duration_since(at.max(contact)) <= self.timeouts.suspect_after
        });
        if silence <= self.timeouts.suspect_after {
            MemberState::Alive
        } else if silence <= self.timeouts.lost_after || others_reach_it {
            // A partition between the two of us, or a peer port that refuses: it is up, and others
            // reach it.
            MemberState::Suspect
        } else {
            MemberState::Lost
        }
    }
}

#[cfg(test)]
mod tests;

//! One controller's view of the others: a failure detector that suspects a member before it declares
//! it lost.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Bit set of the optional features that a process supports. Versions that do not state their
/// capabilities have none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capabilities(pub u32);

impl Capabilities {
    /// Serves workers, that is, answers their heartbeats under a grant.
    pub const SERVES_WORKERS: Capabilities = Capabilities(1);

    /// Returns whether `self` has all capabilities of `other`.
    pub fn contains(self, other: Capabilities) -> bool {
        self.0 & other.0 == other.0
    }
}

/// State of a member by the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// No contact so far, as the member runs an older version or is not up.
    Unknown,
    /// Contact within the suspicion timeout.
    Alive,
    /// Contact is overdue. Nothing new is assigned to the member, and nothing that it serves is
    /// considered lost.
    Suspect,
    /// No contact for longer than the loss timeout; the member is considered gone.
    Lost,
}

/// Another controller, as known to this one.
#[derive(Clone, Debug)]
pub struct Member {
    /// Zone in which it runs.
    pub zone: String,
    /// Number that distinguishes its process from earlier ones of the same name.
    pub incarnation: u64,
    /// Capabilities that it stated last.
    pub capabilities: Capabilities,
    /// Number of workers that it serves.
    pub load: u32,
    /// Time of the last message from it.
    pub last_contact: Option<Instant>,
    /// Time of the last contact that another controller reported.
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

/// Timeouts of the failure detector.
#[derive(Clone, Copy, Debug)]
pub struct FailureDetectorTimeouts {
    /// Time without contact after which a member is suspect.
    pub suspect_after: Duration,
    /// Time without contact after which a member is lost, unless others are in contact with it.
    pub lost_after: Duration,
}

/// All other controllers, by name.
#[derive(Clone, Debug)]
pub struct MembershipView {
    members: BTreeMap<String, Member>,
    timeouts: FailureDetectorTimeouts,
}

impl MembershipView {
    /// Creates a view of the others, given by name and zone, before any contact.
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

    /// Returns all members with their names, in the order of the names.
    pub fn members(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members
            .iter()
            .map(|(name, member)| (name.as_str(), member))
    }

    /// Returns the member of this name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Records a message from a member. Returns false if there is no member of this name.
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

    /// Records another controller's report of its last contact with a member, with the member's
    /// capabilities and load at that time. Newer information from a direct contact is kept.
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

    /// Returns the state of the member of this name.
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
            // A member that others still reach is up; only the connection between it and this
            // controller fails, by a network partition or a peer port that refuses connections.
            MemberState::Suspect
        } else {
            MemberState::Lost
        }
    }
}

#[cfg(test)]
mod tests;

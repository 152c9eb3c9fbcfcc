//! What one controller knows of the others.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What a process can do beyond what all versions can. Versions that never said are without any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capabilities(pub u32);

impl Capabilities {
    /// Answers workers' reports under a grant.
    pub const REPORTS: Capabilities = Capabilities(1);

    pub fn has(self, other: Capabilities) -> bool {
        self.0 & other.0 == other.0
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Never heard: of an older version, or not up.
    Unknown,
    Alive,
    /// Late. Nothing new is given to it, and nothing is taken for lost with it.
    Suspect,
    Lost,
}

#[derive(Clone, Debug)]
pub struct Member {
    pub zone: String,
    pub incarnation: u64,
    pub capabilities: Capabilities,
    /// Workers that it serves.
    pub load: u32,
    pub last_heard: Option<Instant>,
    /// When another controller heard it last, as far as that was told.
    pub last_heard_by_others: Option<Instant>,
}

/// When silence means what.
#[derive(Clone, Copy, Debug)]
pub struct FailureDetectorTimeouts {
    pub suspect_after: Duration,
    pub lost_after: Duration,
}

#[derive(Clone, Debug)]
pub struct MembershipView {
    members: BTreeMap<String, Member>,
    timeouts: FailureDetectorTimeouts,
}

impl MembershipView {
    /// All others by name and zone.
    pub fn new(
        others: impl IntoIterator<Item = (String, String)>,
        patience: FailureDetectorTimeouts,
    ) -> MembershipView {
        let member = |zone| Member {
            zone,
            incarnation: 0,
            capabilities: Capabilities::default(),
            load: 0,
            last_heard: None,
            last_heard_by_others: None,
        };
        MembershipView {
            members: others
                .into_iter()
                .map(|(name, zone)| (name, member(zone)))
                .collect(),
            timeouts: patience,
        }
    }

    pub fn members(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members.iter().map(|(n, m)| (n.as_str(), m))
    }

    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Something came from it; false if no member has this name.
    pub fn heard(
        &mut self,
        name: &str,
        incarnation: u64,
        abilities: Capabilities,
        load: u32,
        now: Instant,
    ) -> bool {
        let Some(m) = self.members.get_mut(name) else {
            return false;
        };
        (m.incarnation, m.capabilities, m.load) = (incarnation, abilities, load);
        m.last_heard = Some(now);
        true
    }

    /// Another member says when it heard this one, and what it was then. What this node heard
    /// itself later than that stands.
    pub fn told(&mut self, name: &str, abilities: Capabilities, load: u32, heard: Instant) {
        let Some(m) = self.members.get_mut(name) else {
            return;
        };
        if m.last_heard_by_others.is_none_or(|t| t < heard) {
            m.last_heard_by_others = Some(heard);
            if m.last_heard.is_none_or(|t| t < heard) {
                (m.capabilities, m.load) = (abilities, load);
            }
        }
    }

    pub fn standing(&self, name: &str, now: Instant) -> Standing {
        let Some(m) = self.members.get(name) else {
            return Standing::Unknown;
        };
        let Some(heard) = m.last_heard else {
            return Standing::Unknown;
        };
        let silent = now.saturating_duration_since(heard);
        let others = m
            .last_heard_by_others
            .map(|t| now.saturating_duration_since(t.max(heard)));
        if silent <= self.timeouts.suspect_after {
            Standing::Alive
        } else if silent <= self.timeouts.lost_after
            // A cut between the two of us, or a back port that refuses: it is there, and others
            // reach it.
            || others.is_some_and(|s| s <= self.timeouts.suspect_after)
        {
            Standing::Suspect
        } else {
            Standing::Lost
        }
    }
}

#[cfg(test)]
mod tests;

//! What a new leader does not know yet: where its predecessors' tasks are.
//!
//! Every machine that may hold a task is recorded in the state service before it gets one. A
//! task of an old job that nobody has shown yet is started only when each of those machines has
//! shown all it has, or can have nothing.

use super::machines::Machine;
use super::{Core, Effect, Pending};
use crate::worker::DirectRequest;

impl Core {
    /// Begins a leadership: all recorded machines are asked at once.
    pub(super) fn recover(&mut self) {
        let now = self.now.mono;
        let Some(lead) = &mut self.lead else { return };
        for (id, value) in &self.mirror.machines {
            let mut m = Machine::new(id.clone(), &value.kind, &value.zone, value.spot, now);
            m.addr = value.addr.clone();
            m.recorded = true;
            // The predecessor stopped answering reports before our key could be created, so the
            // machine's lease runs from now at the latest.
            m.lease_from = now;
            lead.machines.get_or_add(id, || m);
            lead.unresolved.insert(id.clone());
        }
        let machines: Vec<_> = lead.machines.keys().cloned().collect();
        if !machines.is_empty() {
            log::info!(
                "term {}: {} machines to hear from",
                lead.term,
                machines.len()
            );
        }
        for id in machines {
            self.ask_machine(&id);
        }
    }

    /// Shows a machine the new token and asks what it has.
    fn ask_machine(&mut self, id: &crate::job::MachineId) {
        let Some(until) = self.leader_until() else {
            return;
        };
        let call = self.call(Pending::Direct(id.clone()));
        let Some(lead) = &mut self.lead else { return };
        let term = lead.term;
        let Some(m) = lead.machines.get_mut(id) else {
            return;
        };
        let Ok(addr) = m.addr.parse() else { return };
        m.call = Some(call);
        self.out.push(Effect::Direct {
            call,
            addr,
            request: DirectRequest::Status {
                token: m.token(term),
            },
            not_after: until,
        });
    }

    /// A machine has shown everything, or has nothing.
    pub(super) fn resolve(&mut self, id: &crate::job::MachineId, how: &str) {
        let Some(lead) = &mut self.lead else { return };
        if lead.unresolved.remove(id) {
            lead.plan_again = true;
            log::debug!("term {}: machine {id} is known: {how}", lead.term);
            if lead.unresolved.is_empty() {
                log::info!(
                    "term {}: all machines are known after {} ms",
                    lead.term,
                    (self.now.mono - lead.since).as_millis()
                );
            }
        }
    }
}

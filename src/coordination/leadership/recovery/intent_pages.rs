//! Recovery of task attempts from pages of launch intents.

use super::{parse_record, Recovery, UnreadableRecord};
use crate::coordination::attempts::ledger::TaskAttempt;
use crate::coordination::machines::machine::MachineState;
use crate::ids::{AttemptKey, MachineId, PageNumber};
use crate::protocol::state::KeyValue;
use crate::storage::records::{IntentPage, LaunchIntent, RecordKey};

impl Recovery {
    pub(super) fn load_intent_pages(&mut self, pages: &[KeyValue]) -> Result<(), UnreadableRecord> {
        for page in pages {
            self.load_intent_page(page)?;
        }
        Ok(())
    }

    fn load_intent_page(&mut self, item: &KeyValue) -> Result<(), UnreadableRecord> {
        let Some(RecordKey::IntentPage(page)) = RecordKey::parse(&item.key) else {
            return Ok(());
        };
        let record: IntentPage = parse_record(item)?;
        let writer = &mut self.scheduler.writer;
        writer.recover_intent_page(page, item.revision);
        for intent in record.intents() {
            self.load_intent(page, &record, intent);
        }
        Ok(())
    }

    fn load_intent(&mut self, page: PageNumber, record: &IntentPage, intent: LaunchIntent) {
        let LaunchIntent {
            machine_id,
            attempt: key,
        } = &intent;
        let Some(machine) = self.scheduler.machines.get_mut(machine_id) else {
            // Proof 4 follows from the records: an intent is written after its machine's page, and the machine is
            // removed from its page only after the cloud has confirmed its termination.
            self.scheduler
                .writer
                .recover_obsolete_intent(self.now, page);
            return;
        };
        // Only machines whose worker has reported are given work, so this one is up.
        machine.state = MachineState::Up;
        if machine.attempts.contains(key) {
            return;
        }
        let attempt = self.recovered_attempt(page, record, machine_id, key);
        self.scheduler.ledger().insert(machine_id, attempt);
        self.scheduler.writer.recover_intent(page, intent);
    }

    /// Creates an attempt of a former leader. The resource request comes from the page, since the job may be
    /// closed and unknown.
    fn recovered_attempt(
        &self,
        page: PageNumber,
        record: &IntentPage,
        machine_id: &MachineId,
        key: &AttemptKey,
    ) -> TaskAttempt {
        let placed_at = record
            .placed_s
            .get(&key.attempt_id)
            .map_or(self.now, |unix_time_s| self.recorded_instant(*unix_time_s));
        let scheduler = &self.scheduler;
        let mut attempt = scheduler.new_attempt(machine_id, key.clone(), placed_at);
        if let Some(resources) = record.jobs.get(&key.task.job) {
            attempt.request = resources.request;
            attempt.team = scheduler.policy.team_index(&resources.team);
        }
        attempt.intent_page = Some(page);
        attempt.recovered = true;
        attempt
    }
}

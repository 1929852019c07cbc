//! Launch intents, packed into pages.

use super::{Draft, DraftContext, RecordUpdate};
use crate::coordination::attempts::ledger::TaskAttempt;
use crate::coordination::jobs::job::Job;
use crate::coordination::machines::table::MachineTable;
use crate::coordination::persistence::intent_pages::IntentPageSize;
use crate::ids::{JobId, KeyRevision, PageNumber};
use crate::protocol::state::Change;
use crate::storage::records::{
    intent_page_key, open_job_key, IntentPage, JobResources, LaunchIntent,
};
use std::collections::BTreeSet;
use std::iter::Peekable;

/// Whether the attempt of an intent is planned and the intent isn't on a page yet.
pub(in crate::coordination::persistence) fn awaits_page(
    machines: &MachineTable,
    intent: &LaunchIntent,
) -> bool {
    let attempt = attempt_of(machines, intent);
    attempt.is_some_and(|attempt| attempt.intent_page.is_none() && attempt.was_never_launched())
}

fn attempt_of<'a>(machines: &'a MachineTable, intent: &LaunchIntent) -> Option<&'a TaskAttempt> {
    machines
        .get(&intent.machine_id)?
        .attempts
        .get(&intent.attempt)
}

impl DraftContext<'_> {
    /// Drafts the queued intents, in the order in which their attempts were planned, packed into pages. Leaves room
    /// for `reserved_ops` other changes.
    pub fn draft_launch_intents(&self, reserved_ops: usize, draft: &mut Draft) {
        let drafted: BTreeSet<LaunchIntent> = draft.launch_intents().cloned().collect();
        let queue = self.writer.intent_pages.queued();
        let machines = self.cluster.machines;
        let mut queue = queue
            .filter(|intent| !drafted.contains(*intent) && awaits_page(machines, intent))
            .peekable();
        let mut drafted_pages = draft.intent_pages();
        while queue.peek().is_some() && draft.has_room_for_ops(reserved_ops + 1) {
            let mut page = self.page_to_fill(&drafted_pages, draft.limits().max_value_bytes);
            drafted_pages.insert(page.number);
            self.fill_page(&mut page, &mut queue, draft);
            if !page.has_grown() || !self.add_page(page, draft) {
                return;
            }
        }
    }

    /// Returns the emptiest page with its valid intents or, if they fill more than half of it, a new page: either
    /// takes one change.
    fn page_to_fill(&self, drafted: &BTreeSet<PageNumber>, max_bytes: usize) -> PageDraft {
        let pages = &self.writer.intent_pages;
        if let Some(number) = pages.emptiest(drafted) {
            let (intents, revision) = pages.contents(number);
            let size = self.size_of(&intents);
            if size.bytes() <= max_bytes / 2 {
                return PageDraft::new(number, revision, intents, size);
            }
        }
        let number = pages.first_unused(drafted);
        let size = IntentPageSize::default();
        PageDraft::new(number, KeyRevision(0), Vec::new(), size)
    }

    /// Moves intents from the queue to the page while they fit.
    fn fill_page<'a>(
        &self,
        page: &mut PageDraft,
        queue: &mut Peekable<impl Iterator<Item = &'a LaunchIntent>>,
        draft: &Draft,
    ) {
        while let Some(intent) = queue.peek() {
            // Either the intent has to wait until its machine is stored, or its job is closed and the intent is
            // dropped elsewhere.
            let Some(job) = self.launchable_job(intent) else {
                queue.next();
                continue;
            };
            if !page.require_open(intent.job(), job.open_record_revision(), draft) {
                return;
            }
            page.size.add(intent, &job.spec().team);
            if page.size.bytes() > draft.limits().max_value_bytes {
                return;
            }
            page.intents.push((*intent).clone());
            queue.next();
        }
    }

    /// Returns the job of an intent if the job is open and the machine is stored.
    fn launchable_job(&self, intent: &LaunchIntent) -> Option<&Job> {
        let machine = self.cluster.machines.get(&intent.machine_id)?;
        let job = self.cluster.jobs.get(intent.job())?;
        (machine.is_recorded && !job.is_closed()).then_some(job)
    }

    /// Adds a page to the draft. Returns false if the page doesn't fit.
    fn add_page(&self, page: PageDraft, draft: &mut Draft) -> bool {
        let data = self.intent_page(&page.intents);
        let changes = vec![Change::put(intent_page_key(page.number), data)];
        let update = RecordUpdate::IntentPage {
            page: page.number,
            intents: page.intents,
        };
        draft.add(page.preconditions, changes, update)
    }

    fn size_of(&self, intents: &[LaunchIntent]) -> IntentPageSize {
        let mut size = IntentPageSize::default();
        for intent in intents {
            let job = self.cluster.jobs.get(intent.job());
            let team = job.map(|job| job.spec().team.as_str());
            size.add(intent, team.unwrap_or_default());
        }
        size
    }

    /// Encodes a page with the given intents.
    fn intent_page(&self, intents: &[LaunchIntent]) -> serde_json::Value {
        let mut page = IntentPage::default();
        for intent in intents {
            let (task, attempt_id) = (&intent.attempt.task, intent.attempt.attempt_id);
            page.add(&intent.machine_id, task, attempt_id);
            if let Some(attempt) = attempt_of(self.cluster.machines, intent) {
                let placed_s = self.leadership.unix_time_ms(attempt.placed_at) / 1000;
                page.placed_s.entry(attempt_id).or_insert(placed_s);
            }
            if !page.jobs.contains_key(&task.job) {
                page.jobs
                    .insert(task.job.clone(), self.resources_of(intent));
            }
        }
        serde_json::to_value(&page).unwrap_or_default()
    }

    /// Returns the team and the resource request of an intent's job: from the job or, if the job is closed and no
    /// longer known, from the attempt.
    fn resources_of(&self, intent: &LaunchIntent) -> JobResources {
        if let Some(job) = self.cluster.jobs.get(intent.job()) {
            return JobResources::of(job.spec());
        }
        let attempt = attempt_of(self.cluster.machines, intent);
        let team = attempt.and_then(|attempt| attempt.team);
        let team = self.cluster.policy.team(team);
        JobResources {
            team: team.map(|team| team.name.clone()).unwrap_or_default(),
            request: attempt.map(|attempt| attempt.request).unwrap_or_default(),
        }
    }
}

/// A launch intent page that is being filled.
struct PageDraft {
    number: PageNumber,
    preconditions: Vec<(String, KeyRevision)>,
    intents: Vec<LaunchIntent>,
    size: IntentPageSize,
    /// Jobs whose open records are preconditions of the page.
    jobs: BTreeSet<JobId>,
    /// Number of intents on the page before any were added.
    initial_len: usize,
}

impl PageDraft {
    fn new(
        number: PageNumber,
        revision: KeyRevision,
        intents: Vec<LaunchIntent>,
        size: IntentPageSize,
    ) -> PageDraft {
        PageDraft {
            number,
            preconditions: vec![(intent_page_key(number), revision)],
            initial_len: intents.len(),
            intents,
            size,
            jobs: BTreeSet::new(),
        }
    }

    fn has_grown(&self) -> bool {
        self.intents.len() > self.initial_len
    }

    /// Adds the precondition that the job is still open, so that a job cancelled by its user in the meantime is not
    /// launched. Returns false if the draft has no room for another precondition.
    fn require_open(&mut self, job: &JobId, revision: KeyRevision, draft: &Draft) -> bool {
        if self.jobs.contains(job) {
            return true;
        }
        if !draft.has_room_for_preconditions(self.preconditions.len() + 1) {
            return false;
        }
        self.preconditions.push((open_job_key(job), revision));
        self.jobs.insert(job.clone());
        true
    }
}

//! The step loop: runs a step of the scheduler soon after events and at least a few times a second, and
//! executes its effects.

use super::activity::Activity;
use super::effects;
use super::term::TermContext;
use crate::coordination::Effect;
use crate::time::TimeSpan;
use std::sync::Arc;
use std::time::Duration;

/// How long the step loop waits for a requested step before it runs one anyway.
const MAX_STEP_INTERVAL: Duration = Duration::from_millis(250);
/// Events are collected for this long before a step: they come in bursts, and one step handles a whole burst.
const EVENT_BATCH_DELAY: TimeSpan = TimeSpan(10);

/// Runs steps until the term ends.
pub async fn run(term: TermContext, activity: Arc<Activity>) {
    let node = &term.node;
    loop {
        let requested = node.leadership.step_requested();
        let _ = tokio::time::timeout(MAX_STEP_INTERVAL, requested).await;
        let due = node.now() + EVENT_BATCH_DELAY;
        tokio::time::sleep(Duration::from_millis(EVENT_BATCH_DELAY.0 as u64)).await;
        let now = node.now();
        if !term.may_act(now) {
            term.end_lapsed(now);
            return;
        }
        let Some(effects) = node.leadership.step(now) else {
            return;
        };
        activity.step_finished(&effects, node.now() - now, now - due);
        activity.log_if_due(now);
        for effect in effects {
            if let Effect::StepDown { reason } = effect {
                tracing::info!(%reason, "leader steps down");
                term.resign();
                return;
            }
            tokio::spawn(execute(term.clone(), effect));
        }
    }
}

/// Executes one effect and passes its outcome to the scheduler.
async fn execute(term: TermContext, effect: Effect) {
    let node = &term.node;
    // Authority is checked again for each effect: it may have lapsed since the step that issued the effect.
    if !term.may_act(node.now()) {
        return;
    }
    let effect = node.leadership.prepare_to_send(node.now(), effect);
    let Some(event) = effects::execute(node, &term.authority, effect).await else {
        return;
    };
    if !term.end.is_cancelled() {
        let now = node.now();
        node.leadership.handle_outcome(now, &term.authority, event);
    }
}

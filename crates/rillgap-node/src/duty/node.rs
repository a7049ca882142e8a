//! Implements the node duty, which drives the state machine: it passes events to it and executes
//! the resulting actions.

use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::task::Poll;

use rillgap_core::action::Outbox;
use rillgap_core::event::Event;
use rillgap_core::node::{Node, NodeSettings};
use rillgap_core::time::Instant;
use rillgap_ring::RingReceiver;
use tokio::time::{Sleep, sleep_until};

use crate::actions::ActionPorts;
use crate::clock::Clock;

/// Runs the node until all senders of events are dropped.
pub async fn run(
    settings: NodeSettings,
    clock: Clock,
    events: RingReceiver<Event>,
    mut ports: ActionPorts,
) {
    let mut node = Node::new(clock.now(), settings);
    let mut out = Outbox::new();
    let mut timer = WakeTimer::new(clock);
    let mut timer_sleep = pin!(sleep_until(clock.deadline(Instant::default())));
    // The first wake-up starts the node's periodic work, which no other event triggers.
    let mut event = Some(Event::Wake);
    while let Some(next) = event {
        node.handle(clock.now(), next, &mut out);
        for action in out.drain(..) {
            ports.execute(action).await;
        }
        timer.set(timer_sleep.as_mut(), node.next_wake());
        event = next_event(&events, timer_sleep.as_mut(), timer.is_set()).await;
        if event == Some(Event::Wake) {
            timer.clear();
        }
    }
}

/// Waits for the next event from a duty or for the timer; returns `None` if all senders are gone.
///
/// Events take precedence over the timer. A burst of events cannot starve timed work, because the
/// node performs all work that is due whenever it handles an event.
async fn next_event(
    events: &RingReceiver<Event>,
    mut sleep: Pin<&mut Sleep>,
    is_timer_set: bool,
) -> Option<Event> {
    if let Some(event) = events.try_recv() {
        return Some(event);
    }
    let mut receive = pin!(events.recv());
    poll_fn(|context| {
        if let Poll::Ready(event) = receive.as_mut().poll(context) {
            return Poll::Ready(event);
        }
        if is_timer_set && sleep.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Event::Wake));
        }
        Poll::Pending
    })
    .await
}

/// Stores the time that the sleep is set to, so that the sleep is reset only if the time changes.
#[derive(Debug)]
struct WakeTimer {
    clock: Clock,
    wake: Option<Instant>,
}

impl WakeTimer {
    const fn new(clock: Clock) -> Self {
        Self { clock, wake: None }
    }

    fn set(&mut self, sleep: Pin<&mut Sleep>, wake: Option<Instant>) {
        if wake == self.wake {
            return;
        }
        self.wake = wake;
        if let Some(wake) = wake {
            sleep.reset(self.clock.deadline(wake));
        }
    }

    const fn is_set(&self) -> bool {
        self.wake.is_some()
    }

    fn clear(&mut self) {
        self.wake = None;
    }
}

//! Runs a world on `nexosim`, which keeps the virtual clock and the queue of events.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nexosim::model::{BuildContext, Context, Model, ProtoModel, schedulable};
use nexosim::simulation::{ExecutionError, Mailbox, SimInit, SimulationError};
use nexosim::time::MonotonicTime;
use rillgap_core::time::Instant;
use serde::{Deserialize, Serialize};

use super::event::SimulationEvent;
use super::options::SimulationOptions;
use super::outcome::RunOutcome;
use super::world::World;
use crate::model::scenario::Scenario;

/// A world with the events that wait in the scheduler.
///
/// The scheduler carries positions in `slots` only, because it wants arguments that can be
/// cloned, and a message must not be copied.
#[derive(Debug)]
struct Environment {
    world: World,
    slots: Vec<Option<SimulationEvent>>,
    free: Vec<u32>,
}

impl Environment {
    fn store(&mut self, event: SimulationEvent) -> u32 {
        if let Some(slot) = self.free.pop() {
            self.slots[slot as usize] = Some(event);
            return slot;
        }
        self.slots.push(Some(event));
        (self.slots.len() - 1) as u32
    }

    fn take(&mut self, slot: u32) -> Option<SimulationEvent> {
        self.free.push(slot);
        self.slots[slot as usize].take()
    }
}

type SharedEnvironment = Arc<Mutex<Environment>>;

fn lock(environment: &SharedEnvironment) -> MutexGuard<'_, Environment> {
    environment.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The one model of the simulation. Its state lives in its environment, because models must be
/// serializable and nodes are not.
#[derive(Debug, Serialize, Deserialize)]
struct WorldModel;

#[Model(type Env = SharedEnvironment)]
impl WorldModel {
    #[nexosim(init)]
    async fn init(&mut self, context: &Context<Self>, environment: &mut SharedEnvironment) {
        Self::flush(&mut lock(environment), context);
    }

    #[nexosim(schedulable)]
    async fn on_event(
        &mut self,
        slot: u32,
        context: &Context<Self>,
        environment: &mut SharedEnvironment,
    ) {
        let mut environment = lock(environment);
        let time = to_instant(context.time());
        if let Some(event) = environment.take(slot) {
            environment.world.handle(time, event);
        }
        Self::flush(&mut environment, context);
    }
}

impl WorldModel {
    fn flush(environment: &mut Environment, context: &Context<Self>) {
        for (at, event) in environment.world.take_scheduled() {
            let slot = environment.store(event);
            let result =
                context.schedule_event(to_monotonic(at), schedulable!(Self::on_event), slot);
            debug_assert!(result.is_ok(), "the world schedules into the future only");
        }
    }
}

struct WorldPrototype(SharedEnvironment);

impl ProtoModel for WorldPrototype {
    type Model = WorldModel;

    fn build(self, _context: &mut BuildContext<Self>) -> (WorldModel, SharedEnvironment) {
        (WorldModel, self.0)
    }
}

fn to_monotonic(instant: Instant) -> MonotonicTime {
    MonotonicTime::EPOCH + Duration::from_micros(instant.as_micros())
}

fn to_instant(time: MonotonicTime) -> Instant {
    let duration = time.duration_since(MonotonicTime::EPOCH);
    Instant::from_micros(rillgap_core::time::micros(duration))
}

/// A run that can be stepped.
pub struct Simulation {
    environment: SharedEnvironment,
    runner: nexosim::simulation::Simulation,
    seed: u64,
}

impl Simulation {
    /// Prepares a run of a scenario.
    ///
    /// # Errors
    ///
    /// Returns what the simulation library reports.
    pub fn new(
        scenario: Arc<Scenario>,
        seed: u64,
        options: SimulationOptions,
    ) -> Result<Self, EngineError> {
        let environment = Arc::new(Mutex::new(Environment {
            world: World::new(scenario, seed, options),
            slots: Vec::new(),
            free: Vec::new(),
        }));
        let prototype = WorldPrototype(Arc::clone(&environment));
        // One thread: the order of events must not depend on the machine.
        let runner = SimInit::with_num_threads(1)
            .add_model(prototype, Mailbox::new(), "world")
            .init(MonotonicTime::EPOCH)?;
        Ok(Self {
            environment,
            runner,
            seed,
        })
    }

    /// Runs until a moment of virtual time.
    ///
    /// # Errors
    ///
    /// Returns what the simulation library reports.
    pub fn run_until(&mut self, until: Instant) -> Result<(), EngineError> {
        self.runner.step_until(to_monotonic(until))?;
        Ok(())
    }

    /// Looks at the world between two steps.
    pub fn inspect<T>(&self, look: impl FnOnce(&World) -> T) -> T {
        look(&lock(&self.environment).world)
    }

    /// Runs to the end and returns what happened.
    ///
    /// # Errors
    ///
    /// Returns what the simulation library reports.
    pub fn finish(mut self) -> Result<RunOutcome, EngineError> {
        let end = self.inspect(World::end);
        self.run_until(end)?;
        drop(self.runner);
        let environment = Arc::into_inner(self.environment).ok_or(EngineError::StillShared)?;
        let environment = environment
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner);
        Ok(RunOutcome::new(environment.world, self.seed))
    }
}

/// Runs a scenario with a seed from its start to its end.
///
/// # Errors
///
/// Returns what the simulation library reports.
pub fn run(
    scenario: &Arc<Scenario>,
    seed: u64,
    options: SimulationOptions,
) -> Result<RunOutcome, EngineError> {
    Simulation::new(Arc::clone(scenario), seed, options)?.finish()
}

/// Why a simulation could not run.
#[derive(Debug, thiserror::Error)]
pub enum EngineError {
    /// The simulation library refused to build the model.
    #[error("simulation cannot be built: {0}")]
    Build(#[from] SimulationError),
    /// The simulation library stopped.
    #[error("simulation stopped: {0}")]
    Execution(#[from] ExecutionError),
    /// The world is still in use.
    #[error("simulation is still in use")]
    StillShared,
}

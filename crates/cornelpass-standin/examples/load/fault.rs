//! Faults during the measurement of a scenario.

use std::io;
use std::time::{Duration, Instant};

use cornelpass_standin::engine;
use cornelpass_standin::fleet::Fleet;
use serde_json::json;

/// Time between two replacements of a target.
const REPLACE_PERIOD: Duration = Duration::from_secs(5);

/// Time for which the flapping target runs, and then for which it is stopped.
const FLAP_PERIOD: Duration = Duration::from_millis(2_500);

/// Index of the engine that flaps.
const FLAPPING_ENGINE: usize = 0;

/// Data centre that is taken out of service and back.
pub(crate) const LEAVING_DATA_CENTRE: &str = "dc-2";

/// Kind of the faults in a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// No fault.
    Steady,
    /// One organisation sends ten times as many requests as usual.
    Surge,
    /// Targets are replaced one after the other, and one target flaps.
    Churn,
    /// A data centre is taken out of service and back.
    DataCentre,
}

impl Kind {
    /// Kind with a name of the argument `fault`; none for another name.
    pub(crate) fn parse(name: &str) -> Option<Self> {
        match name {
            "steady" => Some(Self::Steady),
            "surge" => Some(Self::Surge),
            "churn" => Some(Self::Churn),
            "datacentre" => Some(Self::DataCentre),
            _ => None,
        }
    }
}

/// Injects the faults of one kind into a fleet while a measurement runs.
pub(crate) struct Injector {
    kind: Kind,
    engines: usize,
    /// Time at which the faults start.
    pub(crate) from: Instant,
    /// Time at which the faults end.
    pub(crate) to: Instant,
    data_centre_out: bool,
    next_replace: Instant,
    next_flap: Instant,
    last_replaced: usize,
    flapping_stopped: bool,
}

impl Injector {
    /// Injector for the faults of a kind between two times.
    pub(crate) const fn new(kind: Kind, engines: usize, from: Instant, to: Instant) -> Self {
        Self {
            kind,
            engines,
            from,
            to,
            data_centre_out: false,
            next_replace: from,
            next_flap: from,
            last_replaced: FLAPPING_ENGINE,
            flapping_stopped: false,
        }
    }

    /// Injects the faults that are due.
    ///
    /// # Errors
    ///
    /// If a sidecar does not start, or the platform rejects a row.
    pub(crate) fn inject_due(&mut self, fleet: &mut Fleet) -> io::Result<()> {
        let now = Instant::now();
        let active = now >= self.from && now < self.to;
        match self.kind {
            Kind::DataCentre => self.set_data_centre_out(fleet, active),
            Kind::Churn => self.replace_and_flap(fleet, now, active),
            Kind::Steady | Kind::Surge => Ok(()),
        }
    }

    fn set_data_centre_out(&mut self, fleet: &Fleet, out: bool) -> io::Result<()> {
        if self.data_centre_out != out {
            self.data_centre_out = out;
            let row = json!({"region": "norte", "in_service": !out});
            fleet.write_rows(&[(format!("config/data_centre/{LEAVING_DATA_CENTRE}"), row)])?;
        }
        Ok(())
    }

    fn replace_and_flap(
        &mut self,
        fleet: &mut Fleet,
        now: Instant,
        active: bool,
    ) -> io::Result<()> {
        if active && now >= self.next_replace {
            self.next_replace += REPLACE_PERIOD;
            self.last_replaced = FLAPPING_ENGINE + 1 + self.last_replaced % (self.engines - 1);
            replace_target(fleet, self.last_replaced)?;
        }
        if self.flapping_stopped && (!active || now >= self.next_flap) {
            self.next_flap += FLAP_PERIOD;
            self.flapping_stopped = false;
            return replace_target(fleet, FLAPPING_ENGINE);
        }
        if active && now >= self.next_flap {
            self.next_flap += FLAP_PERIOD;
            self.flapping_stopped = true;
            fleet.sidecars[FLAPPING_ENGINE].kill();
            restart_engine(fleet, FLAPPING_ENGINE);
        }
        Ok(())
    }
}

/// Restarts an engine, which then has an empty prefix cache.
fn restart_engine(fleet: &Fleet, index: usize) {
    fleet.engines[index].set_faults(engine::Faults { crash: true, ..engine::Faults::default() });
}

/// Replaces a target: the engine restarts, and a new sidecar listens on another address.
fn replace_target(fleet: &mut Fleet, index: usize) -> io::Result<()> {
    fleet.sidecars[index].kill();
    restart_engine(fleet, index);
    fleet.sidecars[index] = fleet.start_sidecar(index, "127.0.0.1:0")?;
    fleet.sidecars[index].address("routers")?;
    let key = format!("config/target/{}", fleet.target_name(index));
    let rows = fleet.config_rows()?.into_iter().filter(|(name, _)| *name == key);
    fleet.write_rows(&rows.collect::<Vec<_>>())
}

//! What goes wrong during a scenario.

use std::io;
use std::time::{Duration, Instant};

use cornelpass_standin::engine;
use cornelpass_standin::fleet::Fleet;
use serde_json::json;

/// Time between two replacements of a target.
const REPLACE_PERIOD: Duration = Duration::from_secs(5);

/// Time that the flapping target is there, and then away.
const FLAP_PERIOD: Duration = Duration::from_millis(2_500);

/// Engine that flaps.
const FLAPPING: usize = 0;

/// Data centre that leaves and returns.
pub(crate) const LEAVING: &str = "dc-2";

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// None.
    Steady,
    /// One organisation sends ten times as much.
    Surge,
    /// Targets are replaced, and one comes and goes.
    Churn,
    /// A data centre is taken out of service and back.
    DataCentre,
}

impl Kind {
    /// The kind by its name.
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

/// Brings the faults about as time goes on.
pub(crate) struct Faults {
    kind: Kind,
    engines: usize,
    /// When they begin.
    pub(crate) from: Instant,
    /// When they end.
    pub(crate) to: Instant,
    out: bool,
    next_replace: Instant,
    next_flap: Instant,
    target: usize,
    away: bool,
}

impl Faults {
    /// Faults of a kind between two moments.
    pub(crate) const fn new(kind: Kind, engines: usize, from: Instant, to: Instant) -> Self {
        Self {
            kind,
            engines,
            from,
            to,
            out: false,
            next_replace: from,
            next_flap: from,
            target: FLAPPING,
            away: false,
        }
    }

    /// Does what is due.
    ///
    /// # Errors
    ///
    /// If a process does not start, or the platform does not take a row.
    pub(crate) fn step(&mut self, fleet: &mut Fleet) -> io::Result<()> {
        let now = Instant::now();
        let active = now >= self.from && now < self.to;
        match self.kind {
            Kind::DataCentre => self.take(fleet, active),
            Kind::Churn => self.churn(fleet, now, active),
            Kind::Steady | Kind::Surge => Ok(()),
        }
    }

    fn take(&mut self, fleet: &Fleet, out: bool) -> io::Result<()> {
        if self.out != out {
            self.out = out;
            let row = json!({"region": "norte", "in_service": !out});
            fleet.write_rows(&[(format!("config/data_centre/{LEAVING}"), row)])?;
        }
        Ok(())
    }

    fn churn(&mut self, fleet: &mut Fleet, now: Instant, active: bool) -> io::Result<()> {
        if active && now >= self.next_replace {
            self.next_replace += REPLACE_PERIOD;
            self.target = FLAPPING + 1 + self.target % (self.engines - 1);
            replace(fleet, self.target)?;
        }
        if self.away && (!active || now >= self.next_flap) {
            self.next_flap += FLAP_PERIOD;
            self.away = false;
            return replace(fleet, FLAPPING);
        }
        if active && now >= self.next_flap {
            self.next_flap += FLAP_PERIOD;
            self.away = true;
            fleet.sidecars[FLAPPING].kill();
            restart(fleet, FLAPPING);
        }
        Ok(())
    }
}

/// The engine starts anew, without its cache.
fn restart(fleet: &Fleet, index: usize) {
    fleet.engines[index].set_faults(engine::Faults { crash: true, ..engine::Faults::default() });
}

/// A target is replaced: engine and process start anew, at another address.
fn replace(fleet: &mut Fleet, index: usize) -> io::Result<()> {
    fleet.sidecars[index].kill();
    restart(fleet, index);
    fleet.sidecars[index] = fleet.start_sidecar(index, "127.0.0.1:0")?;
    fleet.sidecars[index].address("routers")?;
    let key = format!("config/target/{}", fleet.target_name(index));
    let rows = fleet.config_rows()?.into_iter().filter(|(name, _)| *name == key);
    fleet.write_rows(&rows.collect::<Vec<_>>())
}

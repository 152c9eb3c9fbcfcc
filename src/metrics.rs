//! Figures for monitoring, in the usual text format. They are put together when somebody asks, from
//! what the owner knows anyhow: between two questions they cost nothing.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;

type Labels = Vec<(String, String)>;

/// One page of figures in the making.
pub struct Page(Registry);

impl Default for Page {
    fn default() -> Page {
        Page(Registry::with_prefix("burlusher"))
    }
}

impl Page {
    /// Something that goes up and down.
    pub fn gauge(&mut self, name: &str, help: &str, value: f64) {
        let gauge = Gauge::<f64, AtomicU64>::default();
        gauge.set(value);
        self.0.register(name, help, gauge);
    }

    /// The same for each of several, told apart by a label.
    pub fn gauges<'a>(
        &mut self,
        name: &str,
        help: &str,
        label: &str,
        values: impl IntoIterator<Item = (&'a str, f64)>,
    ) {
        let family = Family::<Labels, Gauge<f64, AtomicU64>>::default();
        for (of, value) in values {
            let labels = vec![(label.to_string(), of.to_string())];
            family.get_or_create(&labels).set(value);
        }
        self.0.register(name, help, family);
    }

    /// Something that only grows while a process, or a leader, lasts. The format adds `_total`.
    pub fn counter(&mut self, name: &str, help: &str, value: u64) {
        let counter = Counter::<u64>::default();
        counter.inc_by(value);
        self.0.register(name, help, counter);
    }

    pub fn text(&self) -> String {
        let mut out = String::new();
        // Writing into a string does not fail.
        let _ = encode(&mut out, &self.0);
        out
    }
}

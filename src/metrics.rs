//! Metrics in the OpenMetrics text format. A page is put together when somebody asks for it, from
//! what the owner knows anyhow: between two requests metrics cost nothing.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;

/// All names begin with this and an underscore.
const PREFIX: &str = "burlusher";

type Labels = Vec<(String, String)>;

/// One page of metrics in the making.
pub struct Page(Registry);

impl Default for Page {
    fn default() -> Page {
        Page(Registry::with_prefix(PREFIX))
    }
}

impl Page {
    /// Adds a value that goes up and down.
    pub fn gauge(&mut self, name: &str, help: &str, value: f64) {
        let gauge = Gauge::<f64, AtomicU64>::default();
        gauge.set(value);
        self.0.register(name, help, gauge);
    }

    /// Adds several such values of one name, which differ in the value of a label.
    pub fn gauges<'a>(
        &mut self,
        name: &str,
        help: &str,
        label: &str,
        values: impl IntoIterator<Item = (&'a str, f64)>,
    ) {
        let family = Family::<Labels, Gauge<f64, AtomicU64>>::default();
        for (label_value, value) in values {
            let labels = vec![(label.to_string(), label_value.to_string())];
            family.get_or_create(&labels).set(value);
        }
        self.0.register(name, help, family);
    }

    /// Adds a count that only grows while a process, or a leader, lasts. The format appends `_total`
    /// to its name.
    pub fn counter(&mut self, name: &str, help: &str, value: u64) {
        let counter = Counter::<u64>::default();
        counter.inc_by(value);
        self.0.register(name, help, counter);
    }

    /// The page as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing into a string does not fail.
        let _ = encode(&mut text, &self.0);
        text
    }
}

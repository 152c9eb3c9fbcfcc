//! Metrics in the OpenMetrics text format. Each request builds a page from the current state, so
//! metrics cost nothing between two requests.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;

/// Prefix of all metric names; an underscore follows it.
const PREFIX: &str = "burlusher";

type Labels = Vec<(String, String)>;

/// Page of metrics that is built for one request.
pub struct Page(Registry);

impl Default for Page {
    fn default() -> Page {
        Page(Registry::with_prefix(PREFIX))
    }
}

impl Page {
    /// Adds a gauge: a value that can rise and fall.
    pub fn gauge(&mut self, name: &str, help: &str, value: f64) {
        let gauge = Gauge::<f64, AtomicU64>::default();
        gauge.set(value);
        self.0.register(name, help, gauge);
    }

    /// Adds several gauges of one name that differ in the value of `label`.
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

    /// Adds a counter, which only grows within the lifetime of a process or a leadership. The format
    /// appends `_total` to its name.
    pub fn counter(&mut self, name: &str, help: &str, value: u64) {
        let counter = Counter::<u64>::default();
        counter.inc_by(value);
        self.0.register(name, help, counter);
    }

    /// Encodes the page as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.0);
        text
    }
}

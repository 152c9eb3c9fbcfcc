//! The stand-ins and the cases of the second review: `review2 NAME RECORD`. Exits with 1 if the rule was broken,
//! 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod cluster;
mod http;
mod json;
mod machines;
mod record;
mod state;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: review2 NAME RECORD");
        std::process::exit(2);
    };
    std::process::exit(cases::run(case, path, trouble));
}

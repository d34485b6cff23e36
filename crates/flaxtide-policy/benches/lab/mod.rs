//! A bench of decisions: the real decision core on a manual clock against fake engines.
//!
//! Time goes in steps of a millisecond; everything follows from the seed.
#![allow(
    dead_code,
    unreachable_pub,
    unused_imports,
    reason = "the bench and the regression test use a part each"
)]

mod baseline;
mod engine;
mod plot;
mod scenario;
mod score;
mod world;

pub use self::plot::draw_goodput;
pub use self::scenario::{SCENARIOS, Scenario};
pub use self::score::RunScore;
pub use self::world::{PolicyKind, run};

//! The lease has at most one holder at a time if clocks run at the same speed, and an old
//! holder's orders end before a new holder's begin.

use std::time::Duration;

use flaxtide_policy::{LeaseRow, LeaseStep, LeaseTiming, LeaseWatch};

/// The row of the table with its version.
type Row = Option<(LeaseRow, u64)>;

/// Performs the next step of a watch. The watch learns the result of a write only if
/// `answered`.
fn run_step(watch: &mut LeaseWatch, row: &mut Row, now: Duration, answered: bool) {
    if watch.step(now) == LeaseStep::Read {
        watch.record_read(row.clone(), now);
    }
    let LeaseStep::Write { expected, row: next } = watch.step(now) else { return };
    let version = row.as_ref().map(|(_, version)| *version);
    if version != expected {
        watch.record_write(&next, None, now);
        return;
    }
    let version = version.unwrap_or_default() + 1;
    *row = Some((next.clone(), version));
    watch.record_write(&next, answered.then_some(version), now);
}

#[test]
fn holders_follow_each_other_with_growing_fences() {
    // Instance 0 is frozen from second 10 to second 40, and instance 1 loses the replies
    // to its writes in second 25.
    let mut row: Row = None;
    let new =
        |name: &str| LeaseWatch::new(name.into(), LeaseTiming::default(), Duration::ZERO);
    let mut watches = [new("a"), new("b")];
    let mut orders: Vec<(u64, usize, u64)> = vec![];
    for millis in (0..60_000).step_by(100) {
        let now = Duration::from_millis(millis);
        for (index, watch) in watches.iter_mut().enumerate() {
            let frozen = index == 0 && (10_000..40_000).contains(&millis);
            if frozen {
                continue;
            }
            let lost = index == 1 && (25_000..26_000).contains(&millis);
            run_step(watch, &mut row, now, !lost);
        }
        for (index, watch) in watches.iter().enumerate() {
            let frozen = index == 0 && (10_000..40_000).contains(&millis);
            if let Some(fence) = watch.fence(now, false).filter(|_| !frozen) {
                orders.push((millis, index, fence));
            }
        }
    }
    assert!(orders.windows(2).all(|pair| pair[0].2 <= pair[1].2), "fences never fall");
    let holders: Vec<usize> = orders.iter().map(|order| order.1).collect();
    assert!(holders.contains(&0) && holders.contains(&1));
    // Where the holder changes, there is time for the old holder's orders to arrive.
    let changes = orders.windows(2).filter(|pair| pair[0].1 != pair[1].1);
    for pair in changes {
        assert!(pair[1].0 >= pair[0].0 + 2000, "{pair:?}");
    }
    // A frozen instance that wakes up must not send orders.
    let after_wake = orders.iter().filter(|order| (40_000..40_500).contains(&order.0));
    assert!(after_wake.into_iter().all(|order| order.1 == 1));
}

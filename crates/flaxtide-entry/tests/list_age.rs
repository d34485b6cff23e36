//! Whether a request may be written, by the age of the server list.

use std::time::Duration;

use flaxtide_entry::ListAge;

/// The time within which a leaving server must stop getting requests.
const LEAVE_WITHIN: Duration = Duration::from_secs(2);

/// What happens to the list.
#[derive(Debug, Clone, Copy)]
enum ListStep {
    /// All changes up to this time, in milliseconds, have been applied.
    Covered(u64),
    /// A call to the platform begins.
    Calls,
    /// A call has ended with an answer that hasn't been applied.
    Answered,
    /// A call has failed.
    Failed,
}

/// Returns the age of a list after some steps.
fn age_after(steps: &[ListStep]) -> ListAge {
    let age = ListAge::new(LEAVE_WITHIN);
    for step in steps {
        match step {
            ListStep::Covered(millis) => {
                age.record_covered(Duration::from_millis(*millis));
            }
            ListStep::Calls => age.begin_call(),
            ListStep::Answered => age.end_call(false),
            ListStep::Failed => age.end_call(true),
        }
    }
    age
}

/// Guards against requests that are written by a list of before a server's leaving, however
/// late the processor, the reader or the news are.
#[test]
fn requests_are_written_by_a_list_that_is_new_enough() {
    use ListStep::{Answered, Calls, Covered, Failed};
    // The steps, the time in milliseconds, whether the process is late, and what is right.
    let cases: [(&[ListStep], u64, bool, bool); 13] = [
        (&[], 9000, true, true),
        (&[Covered(1000)], 2500, false, true),
        (&[Covered(1000)], 2500, true, true),
        // Nothing has been read for longer than any step takes.
        (&[Covered(1000)], 2700, false, false),
        // Changes would answer the call, but their news may be unread in a late process.
        (&[Covered(1000), Calls], 2700, false, true),
        (&[Covered(1000), Calls], 2700, true, false),
        // The answer is there, and not applied.
        (&[Covered(1000), Calls, Answered], 2700, false, false),
        (&[Covered(1000), Calls, Answered, Covered(2600)], 2700, true, true),
        // Without the platform, requests are served by what is known.
        (&[Covered(1000), Calls, Failed], 2700, false, true),
        (&[Covered(1000), Calls, Failed], 9000, true, true),
        // That ends with the next answer.
        (&[Covered(1000), Calls, Failed, Covered(3000)], 4700, false, false),
        // Older news don't make the list older.
        (&[Covered(3000), Covered(1000)], 4500, false, true),
        (&[Covered(3000), Calls, Answered, Calls], 9000, false, true),
    ];
    for (steps, millis, is_late, permitted) in cases {
        let age = age_after(steps);
        let now = Duration::from_millis(millis);
        let context = format!("{steps:?} at {millis}, late: {is_late}");
        assert_eq!(age.permits_write(now, is_late), permitted, "{context}");
    }
}

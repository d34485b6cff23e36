//! What servers state of the refusals that they can make: for whom it counts, and until when.

mod common;

use std::sync::Arc;
use std::time::Duration;

use flaxtide_policy::{
    GroupMember, InstanceGroup, ReportEffect, RouteCore, ServerStatement, StatedRate,
};

use self::common::{POOL, core_with, engine, ms};

/// The statement of a response that vouches for the server.
fn statement(refusals: Option<u32>) -> ServerStatement {
    ServerStatement {
        rate: StatedRate::Unlimited,
        refusal_limit: refusals,
        ..ServerStatement::default()
    }
}

/// Creates a core of one of nine instances.
fn core_of_nine(servers: u32) -> RouteCore {
    let mut core = core_with(servers);
    core.set_group(group(), ms(0));
    core
}

/// Returns nine instances.
fn group() -> Arc<InstanceGroup> {
    let member = |instance| GroupMember { instance, data_centre: 0 };
    Arc::new(InstanceGroup {
        own: member(0),
        members: (0..9).map(member).collect(),
        other_data_centres: vec![],
    })
}

/// Returns how many servers count as able to refuse only so many requests.
fn count(core: &RouteCore, now: Duration) -> usize {
    core.count_pushback(now).refusing
}

// Guards against new incarnations being sent more than they bear, because nothing has been heard
// from them yet.
#[test]
fn servers_that_have_not_answered_yet_bear_what_others_state() {
    let mut core = core_of_nine(3);
    core.record_statement(0, statement(Some(8)), ms(5), ms(10));
    assert_eq!(count(&core, ms(10)), 3);
    // One ends, and another one starts.
    core.set_servers(POOL, &[engine(0), engine(1), engine(7)], ms(20));
    assert_eq!(count(&core, ms(20)), 3);
    assert_eq!(core.stated_refusals(7), Some((None, ms(0))));
    // All that were known end at once.
    core.set_servers(POOL, &[engine(8), engine(9)], ms(30));
    assert_eq!(count(&core, ms(30)), 2);
}

#[test]
fn a_server_that_states_no_number_bears_anything() {
    let mut core = core_of_nine(3);
    core.record_statement(0, statement(Some(8)), ms(5), ms(10));
    core.record_statement(1, statement(None), ms(11), ms(20));
    assert_eq!(count(&core, ms(20)), 2);
    // An answer to a request that was sent before doesn't show that.
    core.record_statement(2, statement(None), ms(8), ms(21));
    core.record_statement(0, statement(None), ms(9), ms(22));
    // Neither does an error, which may leave the number out.
    let error = ServerStatement { rate: StatedRate::Unstated, ..statement(None) };
    core.record_statement(0, error, ms(21), ms(30));
    assert_eq!(count(&core, ms(30)), 2);
    assert_eq!(core.stated_refusals(0), Some((Some(8), ms(10))));
}

#[test]
fn all_servers_bear_anything_once_none_states_a_number() {
    let mut core = core_of_nine(3);
    core.record_statement(0, statement(Some(8)), ms(5), ms(10));
    core.record_statement(1, statement(Some(8)), ms(5), ms(10));
    core.record_statement(0, statement(None), ms(15), ms(20));
    assert_eq!(count(&core, ms(20)), 2);
    core.record_statement(1, statement(None), ms(15), ms(20));
    assert_eq!(count(&core, ms(20)), 0);
}

// Guards against an instance without a share of a server, which sends nothing there, keeping to a
// number for good that the server has ceased to state.
#[test]
fn a_number_that_nobody_hears_any_more_ends() {
    let mut core = core_of_nine(3);
    core.record_statement(0, statement(Some(8)), ms(5), ms(10));
    core.set_group(group(), ms(59_000));
    assert_eq!(count(&core, ms(59_000)), 3);
    // A peer still hears it.
    let heard = core.record_peer_refusals(1, Some(8), ms(58_000), ms(59_500));
    assert_eq!(heard, Some(ReportEffect::Changed));
    core.set_group(group(), ms(80_000));
    assert_eq!(count(&core, ms(80_000)), 3);
    core.set_group(group(), ms(120_000));
    assert_eq!(count(&core, ms(120_000)), 0);
}

#[test]
fn of_two_reports_the_later_one_counts() {
    let mut core = core_of_nine(2);
    let report = |core: &mut RouteCore, number, heard| {
        core.record_peer_refusals(0, number, ms(heard), ms(1_000))
    };
    assert_eq!(report(&mut core, Some(8), 500), Some(ReportEffect::Changed));
    assert_eq!(report(&mut core, Some(8), 400), Some(ReportEffect::Known));
    assert_eq!(report(&mut core, None, 400), Some(ReportEffect::Outdated));
    assert_eq!(report(&mut core, Some(4), 600), Some(ReportEffect::Changed));
    assert_eq!(core.stated_refusals(0), Some((Some(4), ms(600))));
    assert_eq!(report(&mut core, None, 700), Some(ReportEffect::Changed));
    assert_eq!(count(&core, ms(1_000)), 0);
    assert_eq!(core.record_peer_refusals(9, Some(8), ms(1), ms(2)), None);
}

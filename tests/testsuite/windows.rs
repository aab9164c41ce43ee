//! Bounds over sliding windows, and their division between instances.

use std::time::Duration;

use chiverelay_decisions::window::Divisor;
use chiverelay_decisions::window::SlidingWindow;
use quickcheck::Gen;
use quickcheck::QuickCheck;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// No span of the window's length ever has more than the bound.
fn slides(bound: u8, steps: Vec<u8>) -> bool {
    let length = ms(100);
    let bound = f64::from(bound % 20);
    let mut window = SlidingWindow::new(length);
    let mut now = Duration::ZERO;
    let mut taken: Vec<Duration> = Vec::new();
    for step in steps {
        now += ms(u64::from(step % 40));
        if window.try_add(1.0, bound, now) {
            taken.push(now);
        }
    }
    taken.iter().all(|from| {
        let within = taken
            .iter()
            .filter(|at| **at >= *from && **at < *from + length);
        within.count() as f64 <= bound
    })
}

#[test]
fn any_span_keeps_the_bound() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 3))
        .tests(500)
        .quickcheck(slides as fn(u8, Vec<u8>) -> bool);
}

#[test]
fn the_wait_is_when_enough_has_left_the_window() {
    let mut window = SlidingWindow::new(ms(100));
    assert!(window.try_add(2.0, 3.0, ms(0)));
    assert!(window.try_add(1.0, 3.0, ms(40)));
    assert_eq!(window.time_until_fits(1.0, 3.0, ms(50)), Some(ms(50)));
    assert_eq!(window.time_until_fits(3.0, 3.0, ms(50)), Some(ms(90)));
    assert_eq!(window.time_until_fits(4.0, 3.0, ms(50)), None);
    assert_eq!(window.time_until_fits(1.0, 3.0, ms(120)), Some(ms(0)));
}

/// What so many instances take apart from one another stays within the whole.
fn parts_fit(instances: u8, bound: u16) -> bool {
    let instances = usize::from(instances % 60) + 1;
    let part = Divisor::new(instances).share(f64::from(bound));
    // One more instance may have joined that the others don't know yet.
    part * (instances + 1) as f64 <= f64::from(bound) + 1e-6
}

#[test]
fn parts_leave_room_for_one_that_joins() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 4))
        .quickcheck(parts_fit as fn(u8, u16) -> bool);
}

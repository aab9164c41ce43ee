//! Publication of the configuration: durable, whole, and never reverting.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use chiverelay_decisions::Config;
use chiverelay_decisions::config::AccountEntry;
use chiverelay_decisions::config::KeyEntry;
use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Route;
use chiverelay_decisions::publication::Chunk;
use chiverelay_decisions::publication::ChunkRef;
use chiverelay_decisions::publication::FetchSource;
use chiverelay_decisions::publication::MAX_CHUNK_BYTES;
use chiverelay_decisions::publication::Manifest;
use chiverelay_decisions::publication::PublicationError;
use chiverelay_decisions::publication::Root;
use chiverelay_decisions::publication::SiblingVersion;
use chiverelay_decisions::publication::WATCHERS_PER_REGION;
use chiverelay_decisions::publication::WriteId;
use chiverelay_decisions::publication::WritePlan;
use chiverelay_decisions::publication::choose_source;
use chiverelay_decisions::publication::is_watcher;
use chiverelay_decisions::publication::split;
use chiverelay_decisions::tables::CurrentConfig;
use chiverelay_operator::Error as OperatorError;
use chiverelay_operator::api::Apply;
use chiverelay_operator::api::Failure;
use chiverelay_standin::faults::Faults;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use serde_json::json;
use support::block_on;
use support::cases;
use support::site::Site;
use support::site::document;
use support::site::eventually;

/// The key of the manifest.
const MANIFEST: &str = "chiverelay/config/manifest";

/// Prefix of the keys of chunks.
const CHUNKS: &str = "chiverelay/config/chunk/";

/// Changes of configuration on a day.
const CHANGES: u64 = 8000;

/// Seconds of a day.
const DAY: u64 = 24 * 3600;

/// Bytes a second that an instance may spend on changes, which it takes once
/// and passes on once: a quarter of what control may take.
const CHANGES_BUDGET: u64 = 20_000 / 4;

/// Client accounts of the size to design for.
const ACCOUNTS: usize = 26_000;

fn account(rate: u64) -> AccountEntry {
    serde_json::from_value(json!({"rate": rate, "burst": rate})).expect("an account")
}

/// Returns a configuration of so many accounts with a key each.
fn config(accounts: usize) -> Config {
    let names = (0..accounts).map(|i| Account::from(format!("account-{i:05}")));
    let names: Vec<_> = names.collect();
    let key = |name: &Account| {
        let entry = KeyEntry::new(name.clone(), "0123456789abcdef0123456789abcdef", "secret");
        (format!("key-of-{name}").as_str().into(), entry)
    };
    Config {
        version: 1,
        keys: names.iter().map(key).collect(),
        accounts: names
            .into_iter()
            .map(|name| (name, account(1000)))
            .collect(),
        ..Config::default()
    }
}

fn writer(nonce: u64) -> WriteId {
    WriteId {
        incarnation: 1,
        nonce,
    }
}

fn publish(
    before: &Manifest,
    config: &Config,
    nonce: u64,
) -> (WritePlan, BTreeMap<Arc<str>, Chunk>) {
    let chunks = split(config).expect("small entries");
    let plan = before.plan(config.version, &chunks, writer(nonce), CHUNKS);
    let chunks = chunks.into_iter().map(|c| (c.digest.clone(), c)).collect();
    (plan, chunks)
}

#[test]
fn chunks_of_all_accounts_are_below_a_megabyte() {
    let config = config(ACCOUNTS);
    let (plan, chunks) = publish(&Manifest::default(), &config, 1);
    let sizes: Vec<_> = chunks.values().map(|c| c.data.len()).collect();
    let total: usize = sizes.iter().sum();
    println!(
        "publication: {} chunks, {total} bytes, root {} bytes",
        sizes.len(),
        plan.manifest.root.encode().len()
    );
    assert!(total > MAX_CHUNK_BYTES, "one value would not hold them");
    assert!(sizes.iter().all(|len| *len <= MAX_CHUNK_BYTES));
    assert!(plan.manifest.root.encode().len() <= MAX_CHUNK_BYTES);
    let read = plan.manifest.assemble(|c| chunks.get(&c.digest).cloned());
    assert_eq!(read, Ok(config));
}

#[test]
fn a_change_of_one_account_writes_one_chunk() {
    let mut config = config(ACCOUNTS);
    let (first, _) = publish(&Manifest::default(), &config, 1);
    config.version = 2;
    config.accounts.insert("account-00007".into(), account(5));
    let (second, _) = publish(&first.manifest, &config, 2);
    let bytes: usize = second.writes.iter().map(|(_, c)| c.data.len()).sum();
    let root = second.manifest.root.encode().len();
    println!("publication: a change writes a root of {root} bytes and {bytes} bytes besides");
    // One chunk and the part of the list that names it.
    assert_eq!(second.writes.len(), 2);
    assert_eq!(second.manifest.root.retired.len(), 2);
    let rate = (root + bytes) as u64 * CHANGES / DAY;
    assert!(2 * rate <= CHANGES_BUDGET, "{rate} bytes/s each way");
    assert_eq!(second.deletes.len(), 0);
}

#[test]
fn an_entry_too_large_for_a_value_is_refused() {
    let mut config = config(1);
    let accounts = config.accounts.keys().cloned();
    let accounts: Vec<_> = accounts.cycle().take(MAX_CHUNK_BYTES / 8).collect();
    let route = json!({"path": "/", "pool": "p", "accounts": accounts});
    let route = serde_json::from_value(route).expect("a route");
    config.routes.insert(Route::from("r"), route);
    assert!(matches!(
        split(&config),
        Err(PublicationError::TooLarge { .. })
    ));
}

/// What damage to an edition is called.
fn check_damage<D>(damage: D, want: &str)
where
    D: Fn(&mut Manifest, &mut BTreeMap<Arc<str>, Chunk>),
{
    let (mut plan, mut chunks) = publish(&Manifest::default(), &config(2000), 1);
    damage(&mut plan.manifest, &mut chunks);
    let read = plan.manifest.assemble(|c| chunks.get(&c.digest).cloned());
    let found = match read {
        Ok(_) => "whole",
        Err(PublicationError::Missing { .. }) => "missing",
        Err(PublicationError::Corrupt { .. }) => "corrupt",
        Err(PublicationError::Unreadable { .. }) => "unreadable",
        Err(PublicationError::TooLarge { .. }) => "too large",
        Err(PublicationError::InvalidConfig { .. }) => "tables",
    };
    assert_eq!(found, want);
}

fn no_damage(_: &mut Manifest, _: &mut BTreeMap<Arc<str>, Chunk>) {}

fn lose_a_chunk(_: &mut Manifest, chunks: &mut BTreeMap<Arc<str>, Chunk>) {
    chunks.pop_first();
}

fn cut_a_chunk(_: &mut Manifest, chunks: &mut BTreeMap<Arc<str>, Chunk>) {
    if let Some(mut first) = chunks.first_entry() {
        let half = first.get().data.len() / 2;
        let data = first.get().data[..half].to_vec();
        first.insert(Chunk::new(data));
    }
}

fn swap_chunks(_: &mut Manifest, chunks: &mut BTreeMap<Arc<str>, Chunk>) {
    let last = chunks.values().next_back().cloned();
    if let (Some(mut first), Some(last)) = (chunks.first_entry(), last) {
        first.insert(last);
    }
}

fn write_garbage(manifest: &mut Manifest, chunks: &mut BTreeMap<Arc<str>, Chunk>) {
    let garbage = Chunk::new(b"{\"accounts\": [".to_vec());
    manifest.chunks[0].digest = garbage.digest.clone();
    chunks.insert(garbage.digest.clone(), garbage);
}

/// Names only the chunks of keys, whose accounts are then missing.
fn forget_accounts(manifest: &mut Manifest, chunks: &mut BTreeMap<Arc<str>, Chunk>) {
    manifest.chunks.retain(|c| {
        let text = String::from_utf8_lossy(&chunks[&c.digest].data).into_owned();
        text.contains("\"accounts\":{}")
    });
}

cases! {
    check_damage:
    whole_edition(no_damage, "whole");
    missing_chunk(lose_a_chunk, "missing");
    half_written_chunk(cut_a_chunk, "corrupt");
    chunk_in_place_of_another(swap_chunks, "corrupt");
    chunk_without_sense(write_garbage, "unreadable");
    faulty_tables(forget_accounts, "tables");
}

/// Over any run of changes, the chunks of the newest two manifests stand in
/// the store, and those of older ones go.
fn chunks_stand_while_read(changes: Vec<(u8, u8)>) -> bool {
    let mut config = config(300);
    let mut manifest = Manifest::default();
    let mut stored = BTreeSet::new();
    let names = |m: &Manifest| -> BTreeSet<String> { m.refs().map(|c| c.key.clone()).collect() };
    changes.into_iter().enumerate().all(|(i, (which, rate))| {
        config.version += 1;
        let name = Account::from(format!("account-{:05}", which % 10));
        config.accounts.insert(name, account(u64::from(rate)));
        let (plan, _) = publish(&manifest, &config, i as u64);
        stored.extend(plan.writes.iter().map(|(key, _)| key.clone()));
        plan.deletes.iter().for_each(|key| {
            stored.remove(key);
        });
        let mut want = names(&manifest);
        want.extend(names(&plan.manifest));
        manifest = plan.manifest;
        stored == want
    })
}

/// A stored value is swept only if it is older than the root and not named by
/// it.
fn check_left_behind(revision: i64, which: fn(&WritePlan) -> String, want: bool) {
    let mut config = config(10);
    let (first, _) = publish(&Manifest::default(), &config, 1);
    config.version = 2;
    config.accounts.insert("account-00007".into(), account(5));
    let (second, _) = publish(&first.manifest, &config, 2);
    let key = which(&second);
    let left = second
        .manifest
        .orphaned_chunks(20, [(key.clone(), revision)]);
    assert_eq!(left == [key], want);
}

cases! {
    check_left_behind:
    a_chunk_of_a_dead_writer(10, |_| format!("{CHUNKS}2-dead-0"), true);
    a_chunk_of_a_writer_at_work(21, |_| format!("{CHUNKS}3-fresh-0"), false);
    a_chunk_that_stands(10, |plan| plan.manifest.chunks[0].key.clone(), false);
    a_part_that_stands(10, |plan| plan.manifest.root.parts[0].key.clone(), false);
    a_chunk_just_retired(10, |plan| plan.manifest.root.retired[0].clone(), false);
}

#[test]
fn chunks_are_deleted_one_change_later() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, 4))
        .tests(60)
        .quickcheck(chunks_stand_while_read as fn(Vec<(u8, u8)>) -> bool);
}

/// Whatever the order in which versions are heard from the store and from
/// siblings, the applied one never falls and ends at the highest.
fn never_lower(versions: Vec<(u8, bool)>) -> bool {
    let snapshot = CurrentConfig::new(Config::default());
    let mut highest = 0;
    versions.into_iter().all(|(version, from_sibling)| {
        let version = u64::from(version);
        let before = snapshot.get().version;
        let heard = [heard("a", version, true)];
        if !from_sibling || choose_source(before, &heard, 0, 0) != FetchSource::UpToDate {
            snapshot.replace_if_newer(Arc::new(Config {
                version,
                ..Config::default()
            }));
        }
        highest = highest.max(version);
        snapshot.get().version == highest
    })
}

#[test]
fn the_version_never_falls() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, 5))
        .tests(1000)
        .quickcheck(never_lower as fn(Vec<(u8, bool)>) -> bool);
}

fn heard(instance: &str, version: u64, near: bool) -> SiblingVersion {
    SiblingVersion {
        instance: instance.into(),
        version,
        is_in_own_region: near,
    }
}

fn check_source(heard: &[SiblingVersion], tries: u32, want: FetchSource) {
    assert_eq!(choose_source(5, heard, tries, u64::MAX / 2), want);
}

fn sibling(name: &str) -> FetchSource {
    FetchSource::Sibling(name.into())
}

cases! {
    check_source:
    nobody_heard(&[], 0, FetchSource::UpToDate);
    an_old_sibling(&[heard("a", 4, true)], 0, FetchSource::UpToDate);
    an_equal_sibling(&[heard("a", 5, true)], 0, FetchSource::UpToDate);
    a_newer_sibling(&[heard("a", 6, true)], 0, sibling("a"));
    the_newest_sibling(&[heard("a", 6, true), heard("b", 7, false)], 0, sibling("b"));
    the_nearer_of_equals(&[heard("a", 7, false), heard("b", 7, true)], 0, sibling("b"));
    the_store_after_failed_tries(&[heard("a", 6, true)], 4, FetchSource::Store);
}

fn watchers(names: BTreeSet<u16>) -> bool {
    let live: Vec<Instance> = names.iter().map(|n| n.to_string().into()).collect();
    let watching = live.iter().filter(|own| is_watcher(own, &live)).count();
    watching == live.len().min(WATCHERS_PER_REGION)
}

#[test]
fn a_few_instances_watch() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 6))
        .tests(200)
        .quickcheck(watchers as fn(BTreeSet<u16>) -> bool);
}

fn apply(expected: u64, rate: u64) -> Apply {
    let mut document = document(&[], &[]);
    document["accounts"]["encargos"]["rate"] = rate.into();
    Apply {
        expected,
        document: serde_json::from_value(document).expect("a document"),
    }
}

#[test]
fn of_two_racing_operators_one_sees_the_winner() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima"), ("cusco-1", "cusco")]).await;
        site.apply("lima-1", document(&[], &[])).await;
        let (lima, cusco) = (
            site.daemon("lima-1").client(),
            site.daemon("cusco-1").client(),
        );
        let (a, b) = (apply(1, 11), apply(1, 22));
        let (a, b) = tokio::join!(lima.apply(&a), cusco.apply(&b));
        let (won, lost) = match (a, b) {
            (Ok(won), Err(lost)) | (Err(lost), Ok(won)) => (won, lost),
            both => panic!("one wins: {both:?}"),
        };
        let OperatorError::Failed { failure, .. } = lost else {
            panic!("a conflict: {lost}");
        };
        assert_eq!(
            failure,
            Failure::Conflict {
                current: Box::new(won.clone())
            }
        );
        site.in_force(won.version).await;
        assert_eq!(lima.config().await.expect("a configuration"), won);
        let chunks = site.store.keys(CHUNKS);
        let manifest = site.store.value(MANIFEST).expect("a manifest");
        let root = Root::parse(&manifest).expect("a root");
        let get = |c: &ChunkRef| site.store.value(&c.key).map(Chunk::new);
        let manifest = Manifest::load(root, get).expect("a manifest");
        let named = manifest.refs().map(|c| c.key.clone());
        let named: BTreeSet<_> = named.chain(manifest.root.retired.clone()).collect();
        assert!(chunks.iter().all(|key| named.contains(key)), "left behind");
    });
}

#[test]
fn a_change_whose_answer_is_lost_is_settled() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima")]).await;
        site.apply("lima-1", document(&[], &[])).await;
        let client = site.daemon("lima-1").client();
        let state = Arc::clone(&site.store);
        let before = state.value(MANIFEST);
        let heal = async {
            // Reads pass; the answer to the write is lost.
            while state.value(MANIFEST) == before {
                tokio::task::yield_now().await;
            }
            state.script.set(Faults::default());
        };
        state.script.set(Faults {
            lose_writes_of: Some("chiverelay/config/".to_owned()),
            ..Faults::default()
        });
        let req = apply(1, 7);
        let (applied, ()) = tokio::join!(client.apply(&req), heal);
        assert_eq!(applied.expect("a settled change").version, 2);
        assert_eq!(client.config().await.expect("a configuration").version, 2);
    });
}

fn part_with_a_missing_chunk(site: &Site) -> serde_json::Value {
    let part = json!([{"key": "gone", "digest": "00"}]).to_string();
    let key = format!("{CHUNKS}part");
    site.store.put(&key, Some(part.as_bytes()));
    json!([{"key": key, "digest": Chunk::new(part.into_bytes()).digest}])
}

/// A version that stands in the store but must not be put in force.
fn check_not_in_force(version: u64, parts: fn(&Site) -> serde_json::Value, want_event: bool) {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima")]).await;
        site.apply("lima-1", document(&[], &[])).await;
        site.apply("lima-1", document(&[], &[])).await;
        let client = site.daemon("lima-1").client();
        let before = client.config().await.expect("a configuration");
        let parts = parts(&site);
        let manifest = json!({"version": version, "parts": parts, "retired": [], "history": []});
        let reads = site.store.calls();
        site.store
            .put(MANIFEST, Some(manifest.to_string().as_bytes()));
        eventually("the instance has dealt with it", async || {
            let events = client.events().await.expect("events").events;
            let refused = events.iter().any(|e| e.what.contains("refused"));
            refused || !want_event && site.store.calls() > reads + 3
        })
        .await;
        assert_eq!(client.config().await.expect("a configuration"), before);
    });
}

cases! {
    check_not_in_force:
    a_version_with_a_missing_part(9, |_| json!([{"key": "gone", "digest": "00"}]), true);
    a_version_with_a_missing_chunk(9, part_with_a_missing_chunk, true);
    an_older_version(1, |_| json!([]), false);
}

#[test]
fn what_a_dead_writer_left_is_swept() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima")]).await;
        let left = format!("{CHUNKS}2-dead-0");
        let fresh = format!("{CHUNKS}17-fresh-0");
        for version in 1..=16 {
            if version == 3 {
                site.store.put(&left, Some(b"{}"));
            }
            site.apply("lima-1", document(&[], &[])).await;
        }
        // A writer that races with the sweep has written, but not switched.
        site.store.put(&fresh, Some(b"{}"));
        eventually("the chunk is swept", async || {
            site.store.value(&left).is_none()
        })
        .await;
        assert!(site.store.value(&fresh).is_some());
        site.daemon("lima-1")
            .client()
            .apply(&apply(16, 3))
            .await
            .expect("a change");
    });
}

#[test]
fn a_restarted_instance_takes_the_stored_version() {
    block_on(async {
        let mut site = Site::start(&[("lima-1", "lima")]).await;
        site.apply("lima-1", document(&[], &[])).await;
        site.apply("lima-1", document(&[], &[])).await;
        site.daemon_mut("lima-1").process.kill();
        site.start_daemon("lima-1", "lima", &json!({}));
        site.in_force(2).await;
    });
}

#[test]
fn a_missed_version_comes_from_a_sibling_when_the_store_is_out() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima"), ("lima-2", "lima")]).await;
        site.apply("lima-1", document(&[], &[])).await;
        site.store.script.set(Faults {
            freeze_watches: true,
            ..Faults::default()
        });
        let applied = site.daemon("lima-1").client().apply(&apply(1, 3)).await;
        site.store.script.set(Faults {
            refuse: true,
            ..Faults::default()
        });
        let version = applied.expect("an accepted change").version;
        site.in_force(version).await;
    });
}

//! Measures how time and memory grow with the size of an installation, for docs/CAPACITY.md:
//! `cargo bench --bench slopes`.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use larkwick::kernel::clock::SystemClock;
use larkwick::kernel::config::{Change, ChangeAction, ConfigStateMachine, Publish, Record};
use larkwick::kernel::group::{GroupLedger, GroupLimits, ReserveRequest};
use larkwick::kernel::membership::{Incarnation, ListedPeer, Members, PeerStatus};
use larkwick::kernel::object::{ClientAccount, Object};
use larkwick::kernel::policy;
use larkwick::kernel::rules::Catalog;
use larkwick::kernel::ticket::{DedupTable, IdempotencyKey, TicketLimits};
use larkwick::standin::platform::PlatformCore;
use larkwick::{App, Settings, any_loopback_port, log_service};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use uuid::Uuid;

fn main() {
    measure_config();
    measure_dedup_table();
    measure_group_ledger();
    measure_members();
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(measure_idle_instances());
}

/// Returns the resident memory of this process.
fn resident_kib() -> i64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0)
}

/// Returns the processor time that this process has used, in milliseconds.
fn cpu_ms() -> f64 {
    const TICK_MS: f64 = 10.0;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks
        .filter_map(|field| field.parse::<f64>().ok())
        .sum::<f64>()
        * TICK_MS
}

/// Returns the mean time of one call, in microseconds.
fn mean_us(iterations: u32, mut call: impl FnMut(u32)) -> f64 {
    let started = Instant::now();
    for index in 0..iterations {
        call(index);
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(iterations)
}

fn account(index: u32) -> Object {
    Object::ClientAccount(ClientAccount {
        name: format!("account-{index}"),
        labels: larkwick::kernel::label::Labels::default().with_label("size", "small"),
        key_blake3: blake3::hash(&index.to_le_bytes()).to_hex().to_string(),
        share: 1,
    })
}

fn publish(state_machine: &ConfigStateMachine, object: Object) -> Record {
    Record::Publish(Publish {
        publish_id: Uuid::new_v4(),
        base_offset: state_machine.state().next_offset,
        publisher: "bench".to_owned(),
        changes: vec![Change {
            seen_revision: state_machine.state().revision(&object.key()),
            action: ChangeAction::Put {
                object: Box::new(object),
            },
        }],
    })
}

fn measure_config() {
    println!(
        "| objects | fold a publish, us | rebuild the catalog, ms | snapshot, ms | snapshot, bytes an object | memory, KiB |"
    );
    println!("|---:|---:|---:|---:|---:|---:|");
    for objects in [1_000_u32, 5_000, 20_000] {
        let before = resident_kib();
        let mut state_machine = ConfigStateMachine::default();
        let changes = (0..objects).map(|index| Change {
            seen_revision: 0,
            action: ChangeAction::Put {
                object: Box::new(account(index)),
            },
        });
        state_machine.apply(Some(&Record::Publish(Publish {
            publish_id: Uuid::new_v4(),
            base_offset: 0,
            publisher: String::new(),
            changes: changes.collect(),
        })));
        let memory = resident_kib() - before;
        let publish_us = mean_us(20, |index| {
            let record = publish(&state_machine, account(index));
            black_box(state_machine.apply(Some(&record)));
        });
        let catalog_us = mean_us(5, |_| {
            black_box(Catalog::new(state_machine.state()));
        });
        let snapshot_us = mean_us(3, |_| {
            black_box(state_machine.snapshot("bench"));
        });
        let bytes = serde_json::to_vec(state_machine.state()).map_or(0, |bytes| bytes.len());
        println!(
            "| {objects} | {publish_us:.0} | {:.1} | {:.1} | {} | {memory} |",
            catalog_us / 1e3,
            snapshot_us / 1e3,
            bytes / objects as usize
        );
    }
}

fn measure_dedup_table() {
    println!(
        "\n| requests remembered | arrive, us | advance the epoch, us | memory, bytes a request |"
    );
    println!("|---:|---:|---:|---:|");
    for requests in [1_000_u32, 10_000, 50_000] {
        let limits = TicketLimits {
            capacity: 100_000,
            ..TicketLimits::default()
        };
        let before = resident_kib();
        let mut table = DedupTable::new("i", Uuid::nil(), limits);
        let ticket = table.issue_ticket();
        let arrive_us = mean_us(requests, |index| {
            let key = IdempotencyKey {
                account: "account".to_owned(),
                key: format!("request {index}"),
            };
            black_box(table.admit(&ticket, &key, Arc::new(index), true));
        });
        let memory = (resident_kib() - before) * 1024 / i64::from(requests);
        let advance_us = mean_us(3, |_| table.advance_epoch());
        println!("| {requests} | {arrive_us:.2} | {advance_us:.0} | {memory} |");
    }
}

fn request(index: u32) -> ReserveRequest {
    ReserveRequest {
        reservation_id: Uuid::from_u128(index.into()),
        entry: "i".to_owned(),
        account: format!("account-{}", index % 10),
        share: 1,
        model: "m".to_owned(),
        prompt_tokens: 100,
        max_tokens: 1_000,
        priority: 0,
        deadline: Duration::from_secs(5),
        prefix: index.into(),
        candidates: (0..16).map(|endpoint| format!("e{endpoint}")).collect(),
    }
}

fn measure_group_ledger() {
    println!("\n| streams in a group of 16 | reserve, us | recount, us | settle, us |");
    println!("|---:|---:|---:|---:|");
    for streams in [64_u32, 256, 1_024] {
        let policy = policy::build("profile").expect("policy");
        let mut ledger = GroupLedger::new(policy, GroupLimits::default());
        for endpoint in 0..16 {
            ledger.set_endpoint(&format!("e{endpoint}"), 10_000_000);
        }
        let mut random = SmallRng::seed_from_u64(1);
        let now = Duration::from_secs(1);
        let reserve_us = mean_us(streams, |index| {
            black_box(ledger.reserve(&request(index), now, &mut random));
        });
        let recount_us = mean_us(50, |_| ledger.refresh_in_flight(now));
        let settle_us = mean_us(50, |_| {
            black_box(ledger.process_queue(now, &mut random));
        });
        println!("| {streams} | {reserve_us:.1} | {recount_us:.0} | {settle_us:.1} |");
    }
}

fn status(index: u32, hall: u32) -> PeerStatus {
    PeerStatus {
        incarnation: Incarnation {
            name: format!("instance-{index}"),
            id: Uuid::from_u128(u128::from(index + 1) << 64),
        },
        hall: format!("hall-{hall}"),
        caller_address: "10.0.0.1:8000".to_owned(),
        peer_address: "10.0.0.1:8002".to_owned(),
        operator_address: "10.0.0.1:8001".to_owned(),
        leaving: false,
        ticket_epoch: 1,
        config_next_offset: 1,
    }
}

fn measure_members() {
    println!(
        "\n| instances, in 21 halls | one heartbeat, us | read the list, us | live view, us | memory, KiB |"
    );
    println!("|---:|---:|---:|---:|---:|");
    for instances in [21_u32, 460, 2_300] {
        let before = resident_kib();
        let mut members = Members::default();
        let list: Vec<ListedPeer> = (0..instances)
            .map(|index| ListedPeer {
                status: status(index, index % 21),
            })
            .collect();
        let now = Duration::from_secs(1);
        let list_us = mean_us(5, |_| members.apply_list(&list, "instance-0", now));
        let memory = resident_kib() - before;
        let own = status(0, 0).incarnation;
        let heartbeat_us = mean_us(100, |index| {
            members.record_heartbeat(status(index % instances, 0), now);
            black_box(members.gossip_for(&own, "hall-0", "", now));
        });
        let live_us = mean_us(100, |_| {
            black_box(members.live("hall-0", now).count());
        });
        println!("| {instances} | {heartbeat_us:.0} | {list_us:.0} | {live_us:.0} | {memory} |");
    }
}

fn settings(index: u32) -> Settings {
    let settings = serde_json::json!({
        "instance": format!("i{index}"), "hall": "h",
        "caller_address": any_loopback_port(), "operator_address": any_loopback_port(),
        "peer_address": any_loopback_port(), "platform": {"plugin": "embedded"},
    });
    serde_json::from_value(settings).expect("settings")
}

async fn heartbeat_bytes(app: &App) -> f64 {
    let url = format!("http://{}/metrics", app.addresses().operator);
    let text = reqwest::get(url)
        .await
        .expect("metrics")
        .text()
        .await
        .expect("text");
    let line = text
        .lines()
        .find(|line| line.starts_with("larkwick_beat_bytes_total"));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
        .unwrap_or(0.0)
}

/// Measures the control overhead of idle instances: those of one hall, all in this process, at the
/// default times.
async fn measure_idle_instances() {
    const MEASURED_TIME: Duration = Duration::from_secs(10);
    println!(
        "\n| idle instances in a hall | processor, % of a core each | heartbeats, bytes/s each | memory, MiB each |"
    );
    println!("|---:|---:|---:|---:|");
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    for instances in [3_u32, 9, 24, 48] {
        let before = resident_kib();
        let core = Arc::new(PlatformCore::new(Arc::new(SystemClock::default())));
        let platform = log_service::embedded(core);
        let mut apps = Vec::new();
        for index in 0..instances {
            let app = App::start_with_platform(settings(index), platform.clone()).await;
            apps.push(app.expect("instance"));
        }
        tokio::time::sleep(Duration::from_secs(5)).await;
        let (cpu, bytes) = (cpu_ms(), heartbeat_bytes(&apps[0]).await);
        tokio::time::sleep(MEASURED_TIME).await;
        let each = f64::from(instances) * MEASURED_TIME.as_secs_f64();
        let cpu = (cpu_ms() - cpu) / 10.0 / each;
        let bytes = (heartbeat_bytes(&apps[0]).await - bytes) / each;
        let memory = (resident_kib() - before) / 1024 / i64::from(instances);
        println!("| {instances} | {cpu:.2} | {bytes:.0} | {memory} |");
        futures::future::join_all(apps.into_iter().map(App::abort)).await;
    }
}

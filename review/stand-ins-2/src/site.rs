//! A small deployment: a store and machines, each with a worker and a node process.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::client::{Client, Outcome, head};
use crate::network::carry;
use crate::store::Store;
use crate::worker::Worker;

/// Host name of all routes.
pub const HOST: &str = "mesh.example";

/// Slots that every worker publishes.
pub const SLOTS: u32 = 20;

/// `stable_window_s` of the site.
pub const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Time until a started deployment is ready.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// A node process and the worker beside it.
pub struct Machine {
    /// Address at which the node listens for other nodes.
    pub node_ip: String,
    pub service: String,
    pub worker: Worker,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub settings: PathBuf,
    pub log: PathBuf,
    child: Option<Child>,
}

/// The deployment. Its processes and files are removed when it is dropped.
pub struct Site {
    pub dir: PathBuf,
    pub store: Store,
    pub machines: Vec<Machine>,
}

/// Settings that differ between cases.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub grace_s: f64,
    /// One-way delay between machines, as between zones.
    pub delay: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            grace_s: 6.0,
            delay: Duration::ZERO,
        }
    }
}

/// The `run` words of the deploy file.
fn deploy_command() -> io::Result<(String, Vec<String>, String)> {
    let text = fs::read_to_string("deploy/system.toml")?;
    let value = |name: &str| {
        let line = text.lines().find(|line| line.starts_with(name));
        let value = line.and_then(|line| line.split('"').nth(1));
        value.map(str::to_owned).ok_or(io::ErrorKind::InvalidData)
    };
    let run = value("run = ")?;
    let mut words = run.split(' ').map(str::to_owned);
    let program = words.next().ok_or(io::ErrorKind::InvalidData)?;
    Ok((program, words.collect(), value("template = ")?))
}

/// A port that is free on this address.
fn free_port(ip: &str) -> io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

impl Site {
    /// Starts a machine for each of the services named, publishes the configuration and waits until all nodes are ready
    /// and know all instances.
    pub async fn start(services: &[&str], config: &str, bounds: Bounds) -> io::Result<Self> {
        let name = format!(
            "review-{}-{:08x}",
            std::process::id(),
            rand::random::<u32>()
        );
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir)?;
        let (a, b) = (rand::random_range(10..250), rand::random_range(1..250));
        let store = Store::start(&format!("127.{a}.{b}.254")).await?;
        let peers = free_port(&format!("127.{a}.{b}.1"))?;
        let mut site = Self {
            dir,
            store,
            machines: Vec::new(),
        };
        site.store.put("op/config", config);
        for (at, service) in services.iter().enumerate() {
            let ip = format!("127.{a}.{b}.{}", at + 1);
            let worker = Worker::start(&ip, &format!("i-{at:04}")).await?;
            let addr = |port| SocketAddr::new(ip.parse().expect("an address"), port);
            // With a delay, other nodes reach this one through the network, which listens at its address.
            let node_ip = match bounds.delay.is_zero() {
                true => ip.clone(),
                false => format!("127.{a}.{b}.{}", at + 101),
            };
            if !bounds.delay.is_zero() {
                let to = format!("{node_ip}:{peers}")
                    .parse()
                    .map_err(io::Error::other)?;
                carry(addr(peers), to, bounds.delay).await?;
            }
            let mut machine = Machine {
                callers: addr(free_port(&ip)?),
                ready: addr(free_port(&ip)?),
                settings: site.dir.join(format!("node-{at}.jsonc")),
                log: site.dir.join(format!("node-{at}.log")),
                service: (*service).to_owned(),
                node_ip,
                worker,
                child: None,
            };
            machine.write_settings(at, peers, site.store.addr, bounds)?;
            machine.spawn()?;
            site.machines.push(machine);
        }
        for at in 0..site.machines.len() {
            site.list(at, "ready");
        }
        site.wait_until_ready().await?;
        // Machines are in touch once their processes have run for `stable_window_s`.
        sleep(STABLE_WINDOW + Duration::from_millis(500)).await;
        Ok(site)
    }

    /// Publishes the entry of a machine's worker with this state.
    pub fn list(&self, at: usize, state: &str) {
        let Machine {
            worker, service, ..
        } = &self.machines[at];
        let value = format!(
            r#"{{"service":"{service}","address":"{}","zone":"z-a","version":"v1","slots":{SLOTS},"state":"{state}","cold_remaining_s":0,"sequence":1}}"#,
            worker.addr
        );
        self.store.put(&format!("servers/{}", worker.id), &value);
    }

    async fn wait_until_ready(&self) -> io::Result<()> {
        let ends = Instant::now() + READY_LIMIT;
        for machine in &self.machines {
            let known = format!("coltsfootport_mesh_instances {}", self.machines.len());
            while !(machine.is_ready().await && machine.metrics().await.contains(&known)) {
                if Instant::now() > ends {
                    return Err(io::Error::other("the nodes are not ready"));
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            machine.kill();
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.dir);
        } else {
            println!("logs in {}", self.dir.display());
        }
    }
}

impl Machine {
    fn write_settings(
        &self,
        at: usize,
        peers: u16,
        store: SocketAddr,
        bounds: Bounds,
    ) -> io::Result<()> {
        let (_, _, template) = deploy_command()?;
        let text = fs::read_to_string(template)?;
        let section = ("{{#bounds.quota_window_s}}", "{{/bounds.quota_window_s}}");
        let (before, rest) = text
            .split_once(section.0)
            .ok_or(io::ErrorKind::InvalidData)?;
        let (_, after) = rest
            .split_once(section.1)
            .ok_or(io::ErrorKind::InvalidData)?;
        let quoted = |value: &dyn std::fmt::Display| format!("\"{value}\"");
        let values = [
            ("{{node_name|json}}", quoted(&format!("node-{at}"))),
            ("{{service|json}}", quoted(&self.service)),
            ("{{zone|json}}", quoted(&"z-a")),
            ("{{application_address|json}}", quoted(&self.worker.addr)),
            ("{{listen_addresses.outbound|json}}", quoted(&self.callers)),
            ("{{listen_addresses.ready|json}}", quoted(&self.ready)),
            ("{{ip_address}}", self.node_ip.clone()),
            ("{{internal_port_range.0}}", peers.to_string()),
            ("{{platform.address|json}}", quoted(&store)),
            ("{{bounds.retry_budget_ratio|json}}", "0.2".into()),
            ("{{bounds.budget_slack|json}}", "50".into()),
            ("{{bounds.budget_window_s|json}}", "10".into()),
            ("{{bounds.grace_period_s|json}}", bounds.grace_s.to_string()),
            ("{{limits.file_descriptors|json}}", "4100".into()),
        ];
        let text = values
            .iter()
            .fold([before, after].concat(), |text, (placeholder, value)| {
                text.replace(placeholder, value)
            });
        fs::write(&self.settings, text)
    }

    /// Starts the node as the deploy file says.
    pub fn spawn(&mut self) -> io::Result<()> {
        let (program, args, _) = deploy_command()?;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(Path::new(&program))
            .args(args)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("COLTSFOOTPORT_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub async fn is_ready(&self) -> bool {
        let path = "/coltsfootport/readiness";
        self.status_page(path).await.status() == Some(200)
    }

    pub async fn metrics(&self) -> String {
        match self.status_page("/metrics").await {
            Outcome::Whole(_, body) => String::from_utf8_lossy(&body).into_owned(),
            _ => String::new(),
        }
    }

    async fn status_page(&self, path: &str) -> Outcome {
        let limit = Duration::from_secs(2);
        let request = head("GET", HOST, path, "", limit, "");
        Client::once(self.ready, request.as_bytes(), limit).await
    }
}

/// Builds a configuration with these routes.
pub fn config(version: u32, services: &[&str], routes: &[String]) -> String {
    let services = services.iter().map(|name| {
        format!(r#"{{"name":"{name}","health_check_path":"/health","max_connections":500}}"#)
    });
    let services: Vec<String> = services.collect();
    format!(
        r#"{{"version":"r{version}","routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4000000,"header_timeout_s":2,"idle_timeout_s":10}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// Builds a route to one service.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout_s: f64) -> String {
    format!(
        r#"{{"name":"{name}","host":"{HOST}","prefix":"{prefix}","kind":"{kind}","timeout_s":{timeout_s},"target_latency_s":1.5,"priority":1,"service":"{service}","max_attempts":2}}"#
    )
}

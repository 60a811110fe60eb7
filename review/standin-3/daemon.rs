//! The project's daemon as a process.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;

/// The figures of a settings file that scenarios vary.
#[derive(Clone, Debug)]
pub struct Figures {
    pub budget_ratio: f64,
    pub budget_slack: u32,
}

impl Default for Figures {
    fn default() -> Self {
        Self { budget_ratio: 0.2, budget_slack: 56 }
    }
}

pub struct Daemon {
    child: Option<Child>,
    pub name: String,
    pub ip: String,
    ports: [u16; 3],
    store: SocketAddr,
    directory: PathBuf,
    program: PathBuf,
}

impl Daemon {
    pub fn new(
        number: usize,
        net: u8,
        store: SocketAddr,
        directory: PathBuf,
        program: PathBuf,
    ) -> Self {
        let ip = format!("127.{net}.10.{}", number + 1);
        let free = || {
            let listener = TcpListener::bind((ip.as_str(), 0)).expect("a free port");
            listener.local_addr().expect("a bound listener has an address").port()
        };
        let ports = [free(), free(), free()];
        Self { child: None, name: format!("front-{number}"), ip, ports, store, directory, program }
    }

    pub fn front(&self) -> SocketAddr {
        format!("{}:{}", self.ip, self.ports[0]).parse().expect("an address")
    }

    pub fn ready_address(&self) -> SocketAddr {
        format!("{}:{}", self.ip, self.ports[1]).parse().expect("an address")
    }

    pub fn write_settings(&self, figures: &Figures) {
        let Self { name, ip, ports: [front, ready, peer], store, .. } = self;
        let text = format!(
            r#"{{"node":"{name}","role":"daemon","machine_class":"front","serves":["front"],"ip":"{ip}","zone":"zone-a","region":"region-a","zones":{{"zone-a":"region-a","zone-b":"region-a"}},"listen_addrs":{{"front":"{ip}:{front}","ready_addr":"{ip}:{ready}"}},"internal_ports":[{peer},{peer}],"seeds":[],"bootstrap":true,"fault_counted":false,"limits":{{"cpu_share":0.25,"cpu_cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},"data_dir":null,"discovery":"platform","entry_mode":"vip","heartbeat_ms":1200,"contracts":["base","drain","config","cost","retry","recover","scatter","platform"],"fault_tolerance":{{"machines":1,"zones":0,"regions":0}},"bounds":{{"seed_lag_s":3,"addr_reuse_s":2,"settle_window_ms":4000,"ack_ms":5000,"catch_up_s":4,"drain_ms":3000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":3000,"downgrade_slack_ms":250,"core_skew_ms":12000,"retry_budget_ratio":{},"budget_window_s":10,"retry_budget_slack":{},"recovery_s":12}},"platform":{{"address":"{store}","form":"objects","writes_per_s":400.0,"reads_per_s":2000.0,"history_s":20,"value_bytes":1048576,"min_ttl_ms":1000}}}}"#,
            figures.budget_ratio, figures.budget_slack
        );
        let path = self.settings_path();
        let part = path.with_extension("part");
        std::fs::write(&part, text).expect("settings are written");
        std::fs::rename(part, path).expect("settings are replaced");
    }

    fn settings_path(&self) -> PathBuf {
        self.directory.join(format!("{}.json", self.name))
    }

    pub fn log_path(&self) -> PathBuf {
        self.directory.join(format!("{}.log", self.name))
    }

    pub fn start(&mut self, figures: &Figures) {
        self.write_settings(figures);
        let log = std::fs::File::options().create(true).append(true).open(self.log_path());
        let child = Command::new(&self.program)
            .arg("--platform")
            .arg(self.settings_path())
            .stdout(log.expect("a log file"))
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        self.child = Some(child);
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: plain call with the id of a child that was not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the daemon reports ready.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) =
            TcpStream::connect_timeout(&self.ready_address(), Duration::from_millis(500))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let _ = stream
            .write_all(b"GET /berylpin/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        let mut connection = crate::http::Connection::new(stream);
        matches!(connection.read(), Ok(Some(message)) if message.status() == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

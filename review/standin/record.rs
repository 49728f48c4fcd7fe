//! What a script writes into its `record.txt`.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &str) -> Result<Self, String> {
        let file = File::create(format!("{folder}/record.txt"));
        let file = file.map_err(|error| format!("record.txt: {error}"))?;
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(file),
        })
    }

    /// Seconds since the script began.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", self.now(), text.as_ref());
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        let _written = file.write_all(line.as_bytes());
    }

    /// A line that is also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

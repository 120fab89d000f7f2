//! SVG plots of the cost of a VM against the size of its cell.

use std::path::Path;

use {
    anyhow::{Context, Result, anyhow},
    plotters::prelude::{BLACK, ChartBuilder, IntoDrawingArea, LineSeries, RED, SVGBackend, WHITE},
};

use super::cost::Cost;

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (640, 400);

/// Number of VMs in the plots against workers, and of workers in the plots against VMs.
const FIXED_SIZE: (u64, u64) = (8, 50);

/// Plotted metric of a VM: part of its file name, axis label, target and accessor.
struct PlottedMetric {
    name: &'static str,
    label: &'static str,
    target: f64,
    value_of: fn(&Cost) -> f64,
}

const PLOTTED_METRICS: [PlottedMetric; 3] = [
    PlottedMetric {
        name: "cpu",
        label: "processor time, % of a core",
        target: 2.7,
        value_of: |cost| cost.cpu,
    },
    PlottedMetric {
        name: "memory",
        label: "peak memory, MB",
        target: 128.0,
        value_of: |cost| cost.memory.peak,
    },
    PlottedMetric {
        name: "bytes",
        label: "control traffic, B/s",
        target: 4_096.0,
        value_of: |cost| cost.traffic.total(),
    },
];

/// Plots processor time, memory and traffic of a VM against the number of workers and the number of VMs.
///
/// # Errors
///
/// Fails if a file cannot be written.
pub fn draw_all(directory: &Path, costs: &[Cost]) -> Result<()> {
    std::fs::create_dir_all(directory)
        .with_context(|| format!("cannot create {}", directory.display()))?;
    let by_workers = costs.iter().filter(|cost| cost.size.vms == FIXED_SIZE.0);
    let by_workers: Vec<_> = by_workers.map(|cost| (cost.size.workers, cost)).collect();
    let by_vms = costs.iter().filter(|cost| cost.size.workers == FIXED_SIZE.1);
    let mut by_vms: Vec<_> = by_vms.map(|cost| (cost.size.vms, cost)).collect();
    by_vms.sort_by_key(|(vms, _)| *vms);
    for metric in &PLOTTED_METRICS {
        for (axis, points) in [("workers", &by_workers), ("vms", &by_vms)] {
            let points = points.iter().map(|&(x, cost)| (x as f64, (metric.value_of)(cost)));
            let points: Vec<(f64, f64)> = points.collect();
            let file = directory.join(format!("cost-{}-{axis}.svg", metric.name));
            draw(&file, axis, metric, &points)
                .map_err(|error| anyhow!("cannot draw {}: {error}", file.display()))?;
        }
    }
    Ok(())
}

fn draw(
    file: &Path,
    axis: &str,
    metric: &PlottedMetric,
    points: &[(f64, f64)],
) -> Result<(), Box<dyn std::error::Error>> {
    let max_x = points.iter().map(|point| point.0).fold(0.0, f64::max);
    let max_y = points.iter().map(|point| point.1).fold(metric.target, f64::max) * 1.1;
    let area = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
    chart.configure_mesh().x_desc(axis).y_desc(metric.label).draw()?;
    chart.draw_series(LineSeries::new(points.iter().copied(), &BLACK).point_size(3))?;
    chart.draw_series(LineSeries::new([(0.0, metric.target), (max_x, metric.target)], &RED))?;
    area.present()?;
    Ok(())
}

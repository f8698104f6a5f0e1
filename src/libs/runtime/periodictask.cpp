// SPDX-License-Identifier: Apache-2.0
#include <runtime/periodictask.h>

namespace sailtiller {

periodic_task::periodic_task(event_loop& loop, std::string name, duration interval, std::function<void()> run)
    : loop(loop)
    , name(std::move(name))
    , interval(interval)
    , run(std::move(run))
{
}

periodic_task::~periodic_task()
{
    this->stop();
}

void periodic_task::start()
{
    this->is_active = true;
    this->run_once();
}

void periodic_task::start_after(duration delay)
{
    this->is_active = true;
    this->loop.cancel(this->timer);
    this->timer = this->loop.schedule_after(delay, [this] { this->run_once(); });
}

void periodic_task::stop()
{
    this->is_active = false;
    this->loop.cancel(this->timer);
}

void periodic_task::run_once()
{
    try {
        this->run();
        this->failures = 0;
    } catch (const std::exception& fault) {
        ++this->failures;
        this->loop.report_task_fault(this->name, fault.what());
    }
    if (this->is_active) {
        this->start_after(this->interval);
    }
}

} // namespace sailtiller

// SPDX-License-Identifier: Apache-2.0
#include <runtime/metrics.h>

#include <boost/histogram.hpp>

namespace sailtiller {

namespace {

namespace bh = boost::histogram;

/// Ten buckets a decade from 0.1 ms to 1,000 s: a bucket is 26 % wide, fine enough to judge limits such as
/// 62 ms and 0.69 s, and a histogram stays small.
constexpr unsigned bucket_count = 70;
constexpr double lowest_seconds = 1e-4;
constexpr double highest_seconds = 1e3;
constexpr const char* other_label = "other";

using time_axis = bh::axis::regular<double, bh::axis::transform::log>;
// Cells grow from one byte each as counts do, so an account with little traffic costs little.
using time_histogram = bh::histogram<std::tuple<time_axis>, bh::unlimited_storage<>>;

time_histogram make_histogram()
{
    return bh::make_histogram_with(
        bh::unlimited_storage<>(), time_axis(bucket_count, lowest_seconds, highest_seconds));
}

std::string quote_label(const std::string& value)
{
    std::string text;
    for (const char letter : value) {
        if (letter == '\\' || letter == '"') {
            text += '\\';
        }
        text += letter == '\n' ? ' ' : letter;
    }
    return "\"" + text + "\"";
}

void write_header(std::string& out, const std::string& name, const std::string& help, const char* type)
{
    out += "# HELP " + name + " " + help + "\n# TYPE " + name + " " + type + "\n";
}

double count_at(const time_histogram& histogram, int bucket)
{
    return static_cast<double>(histogram.at(bucket));
}

double total_count(const time_histogram& histogram)
{
    double total = 0;
    for (int bucket = -1; bucket <= static_cast<int>(bucket_count); ++bucket) {
        total += count_at(histogram, bucket);
    }
    return total;
}

} // namespace

counter_family::counter_family(std::string name, std::string help, std::string label)
    : name(std::move(name))
    , help(std::move(help))
    , label(std::move(label))
{
}

void counter_family::add(const label_value& label_text, std::uint64_t amount)
{
    this->values[label_text] += amount;
}

std::uint64_t counter_family::value(const label_value& label_text) const
{
    const auto found = this->values.find(label_text);
    return found == this->values.end() ? 0 : found->second;
}

void counter_family::write(std::string& out) const
{
    write_header(out, this->name, this->help, "counter");
    for (const auto& [value, count] : this->values) {
        out +=
            this->name + "{" + this->label + "=" + quote_label(value) + "} " + std::to_string(count) + "\n";
    }
}

struct time_histogram_family::state
{
    struct entry
    {
        time_histogram histogram = make_histogram();
        double sum_seconds = 0;
    };

    std::string name;
    std::string help;
    std::string label;
    std::size_t most_labels;
    std::map<label_value, entry> entries;

    [[nodiscard]] const entry* find(const label_value& value) const
    {
        const auto found = this->entries.find(value);
        return found == this->entries.end() ? nullptr : &found->second;
    }

    void write_entry(std::string& out, const label_value& value, const entry& item) const;
};

void time_histogram_family::state::write_entry(
    std::string& out, const label_value& value, const entry& item) const
{
    const std::string labels = this->label + "=" + quote_label(value);
    double cumulative = count_at(item.histogram, -1);
    for (int bucket = 0; bucket < static_cast<int>(bucket_count); ++bucket) {
        const double here = count_at(item.histogram, bucket);
        cumulative += here;
        if (here > 0) { // empty buckets say nothing that the next one doesn't
            const double bound = item.histogram.axis().bin(bucket).upper();
            out += this->name + "_bucket{" + labels + ",le=\"" + std::to_string(bound) + "\"} "
                + std::to_string(static_cast<std::uint64_t>(cumulative)) + "\n";
        }
    }
    const std::string total = std::to_string(static_cast<std::uint64_t>(total_count(item.histogram)));
    out += this->name + "_bucket{" + labels + ",le=\"+Inf\"} " + total + "\n";
    out += this->name + "_sum{" + labels + "} " + std::to_string(item.sum_seconds) + "\n";
    out += this->name + "_count{" + labels + "} " + total + "\n";
}

time_histogram_family::time_histogram_family(
    std::string name, std::string help, std::string label, std::size_t most_labels)
    : inner(
        std::make_unique<state>(state{std::move(name), std::move(help), std::move(label), most_labels, {}}))
{
}

time_histogram_family::~time_histogram_family() = default;
time_histogram_family::time_histogram_family(time_histogram_family&&) noexcept = default;
time_histogram_family& time_histogram_family::operator=(time_histogram_family&&) noexcept = default;

void time_histogram_family::record(const label_value& label, duration time)
{
    const bool is_full = this->inner->entries.size() >= this->inner->most_labels;
    const bool is_known = this->inner->entries.contains(label);
    state::entry& entry = this->inner->entries[is_full && !is_known ? other_label : label];
    const double seconds = std::chrono::duration<double>(time).count();
    entry.histogram(seconds);
    entry.sum_seconds += seconds;
}

std::uint64_t time_histogram_family::count(const label_value& label) const
{
    const state::entry* entry = this->inner->find(label);
    return entry == nullptr ? 0 : static_cast<std::uint64_t>(total_count(entry->histogram));
}

duration time_histogram_family::quantile(const label_value& label, double share) const
{
    const state::entry* entry = this->inner->find(label);
    if (entry == nullptr) {
        return duration::zero();
    }
    const double wanted = share * total_count(entry->histogram);
    double cumulative = count_at(entry->histogram, -1);
    double bound = lowest_seconds;
    for (int bucket = 0; bucket < static_cast<int>(bucket_count) && cumulative < wanted; ++bucket) {
        cumulative += count_at(entry->histogram, bucket);
        bound = entry->histogram.axis().bin(bucket).upper();
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(bound));
}

std::size_t time_histogram_family::label_count() const
{
    return this->inner->entries.size();
}

void time_histogram_family::write(std::string& out, const std::optional<label_value>& only) const
{
    write_header(out, this->inner->name, this->inner->help, "histogram");
    if (only) {
        if (const state::entry* entry = this->inner->find(*only)) {
            this->inner->write_entry(out, *only, *entry);
        }
        return;
    }
    for (const auto& [value, entry] : this->inner->entries) {
        this->inner->write_entry(out, value, entry);
    }
}

request_times::request_times(const std::string& label, std::size_t most_labels)
    : queue("sailtiller_" + label + "_queue_seconds", "Time until a request was let in.", label, most_labels)
    , first_token(
          "sailtiller_" + label + "_first_token_seconds", "Time to the first token.", label, most_labels)
    , between_tokens(
          "sailtiller_" + label + "_between_tokens_seconds", "Time between tokens.", label, most_labels)
    , total("sailtiller_" + label + "_request_seconds", "Time of whole requests.", label, most_labels)
{
}

void request_times::write(std::string& out, const std::optional<label_value>& only) const
{
    this->queue.write(out, only);
    this->first_token.write(out, only);
    this->between_tokens.write(out, only);
    this->total.write(out, only);
}

host_metrics::host_metrics()
    : requests("sailtiller_requests_total", "Requests by their outcome.", "outcome")
    , rejected("sailtiller_rejected_total", "Requests refused before they were run.", "reason")
    , attempts("sailtiller_attempts_total", "Attempts of requests.", "kind")
    , tokens("sailtiller_tokens_total", "Tokens given to callers.", "model")
    , dropped_answers("sailtiller_dropped_answers_total", "Answers of upstreams that were dropped.", "reason")
    , bundle_events("sailtiller_bundle_events_total", "What became of records of bundles.", "kind")
    , by_class("class", most_class_labels)
    , by_account("account", most_account_labels)
{
}

void host_metrics::record_queue(const label_value& service_class, const label_value& account, duration time)
{
    this->by_class.queue.record(service_class, time);
    this->by_account.queue.record(account, time);
}

void host_metrics::record_first_token(
    const label_value& service_class, const label_value& account, duration time)
{
    this->by_class.first_token.record(service_class, time);
    this->by_account.first_token.record(account, time);
}

void host_metrics::record_between_tokens(
    const label_value& service_class, const label_value& account, duration time)
{
    this->by_class.between_tokens.record(service_class, time);
    this->by_account.between_tokens.record(account, time);
}

void host_metrics::record_total(const label_value& service_class, const label_value& account, duration time)
{
    this->by_class.total.record(service_class, time);
    this->by_account.total.record(account, time);
}

std::string host_metrics::write() const
{
    std::string out;
    this->requests.write(out);
    this->rejected.write(out);
    this->attempts.write(out);
    this->tokens.write(out);
    this->dropped_answers.write(out);
    this->bundle_events.write(out);
    this->by_class.write(out, std::nullopt);
    return out;
}

std::string host_metrics::write_accounts(const std::optional<label_value>& account) const
{
    std::string out;
    this->by_account.write(out, account);
    return out;
}

} // namespace sailtiller

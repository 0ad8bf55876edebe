/// The table of docs/CONFIGURATION.md, generated from the schema.
#pragma once

#include <string>

namespace millstair {

/// A Markdown table with a row for each key: key, value, default, bounds, meaning.
std::string SettingsTable();

}  // namespace millstair

/// Parts of the product that a run breaks on purpose, to prove that the checks notice.
#pragma once

namespace millstair::simulator {

struct ProductFaults {};

}  // namespace millstair::simulator

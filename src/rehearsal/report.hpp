// Reports on the result of a rehearsal: text, JSON, JUnit XML and one self-contained HTML page.
#ifndef BRASSFRONT_REHEARSAL_REPORT_HPP_
#define BRASSFRONT_REHEARSAL_REPORT_HPP_

#include <string>

#include "rehearsal/run.hpp"

namespace brassfront::rehearsal {

std::string TextReport(const Result& result);
std::string JsonReport(const Result& result);
std::string JUnitReport(const Result& result);
std::string HtmlReport(const Result& result);

// Writes all reports into the folder: report.txt, report.json, junit.xml, report.html.
void WriteReports(const Result& result, const std::string& folder);

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_REPORT_HPP_
